// Evaluates a JSON test report. Prints all failures and exits with 1 if a test
// failed that KNOWN-RED.txt does not list, if a test file did not run, or if no
// test passed. The last line, with the counts, is read by a tool.
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const [reportFile] = process.argv.slice(2);
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

if (!existsSync(reportFile)) {
	console.log('The test run wrote no report.');
	process.exit(1);
}

const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const tests = report.testResults.flatMap(
	({assertionResults}) => assertionResults,
);
const failedFiles = report.testResults.filter(
	({status, assertionResults}) =>
		status === 'failed' &&
		assertionResults.every((test) => test.status !== 'failed'),
);
const knownFailures = existsSync(KNOWN_RED_FILE)
	? readFileSync(KNOWN_RED_FILE, 'utf8')
			.split('\n')
			.filter((line) => line.startsWith('test: '))
			.map((line) => line.slice('test: '.length).trim())
	: [];

const failed = tests.filter(({status}) => status === 'failed');
const isKnownFailure = ({fullName}) => knownFailures.includes(fullName);
failed.filter(isKnownFailure).forEach(({fullName}) => {
	console.log(`known red: ${fullName}`);
});
const unexpectedFailures = failed.filter((test) => !isKnownFailure(test));
unexpectedFailures.forEach(({fullName}) => {
	console.log(`failed: ${fullName}`);
});
failedFiles.forEach(({name}) => {
	console.log(`failed: ${name} did not run`);
});

const passed = tests.filter(({status}) => status === 'passed').length;
const failureCount = unexpectedFailures.length + failedFiles.length;
console.log(`${passed} passed, ${failureCount} failed`);
process.exit(failureCount === 0 && passed > 0 ? 0 : 1);
