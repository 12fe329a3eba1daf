// Judges a test report: fails for each failed test that KNOWN-RED.txt does not
// list, prints those that it does, and ends with the count.
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const [reportFile] = process.argv.slice(2);
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

if (!existsSync(reportFile)) {
	console.log('The tests gave no report.');
	process.exit(1);
}

const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const tests = report.testResults.flatMap(
	({assertionResults}) => assertionResults,
);
const brokenFiles = report.testResults.filter(
	({status, assertionResults}) =>
		status === 'failed' &&
		assertionResults.every((test) => test.status !== 'failed'),
);
const knownRed = existsSync(KNOWN_RED_FILE)
	? readFileSync(KNOWN_RED_FILE, 'utf8')
			.split('\n')
			.filter((line) => line.startsWith('test: '))
			.map((line) => line.slice('test: '.length).trim())
	: [];

const failed = tests.filter(({status}) => status === 'failed');
const isKnown = ({fullName}) => knownRed.includes(fullName);
failed.filter(isKnown).forEach(({fullName}) => {
	console.log(`known red: ${fullName}`);
});
const unexpected = failed.filter((test) => !isKnown(test));
unexpected.forEach(({fullName}) => {
	console.log(`failed: ${fullName}`);
});
brokenFiles.forEach(({name}) => {
	console.log(`failed: ${name} did not run`);
});

const passed = tests.filter(({status}) => status === 'passed').length;
const faults = unexpected.length + brokenFiles.length;
console.log(`${passed} passed, ${faults} failed`);
process.exit(faults === 0 && passed > 0 ? 0 : 1);
