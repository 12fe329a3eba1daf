import process from 'node:process';
import type {Model, ModelResult} from './model.js';
import {models} from './models.js';

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

function formatStates({states}: ModelResult): string {
	return `${states.toLocaleString('en-US')} states`;
}

function printPath({violation}: ModelResult): void {
	violation?.path.forEach((step, i) => {
		print(`       ${i + 1}. ${step}`);
	});
}

function checkWithAllGuards(model: Model): boolean {
	const result = model.run([]);
	const {violation} = result;
	const status = violation === undefined ? 'ok  ' : 'FAIL';
	const found = violation === undefined ? 'no violation' : violation.invariant;
	print(`${status} all guards: ${found} (${formatStates(result)})`);
	printPath(result);
	return violation === undefined;
}

function checkWithoutGuard(model: Model, guard: string): boolean {
	const result = model.run([guard]);
	const {violation} = result;
	if (violation === undefined) {
		print(
			`FAIL without ${guard}: nothing is violated, so the guard is not needed or not tested (${formatStates(result)})`,
		);
		return false;
	}

	print(
		`ok   without ${guard}: violates "${violation.invariant}" (${formatStates(result)})`,
	);
	printPath(result);
	return true;
}

function checkModel(model: Model): readonly boolean[] {
	print(`model ${model.name}`);
	print(`     bounds: ${model.bounds}`);
	return [
		checkWithAllGuards(model),
		...model.guards.map((guard) => checkWithoutGuard(model, guard)),
	];
}

const outcomes = models.flatMap(checkModel);
const passed = outcomes.filter(Boolean).length;
const failed = outcomes.length - passed;
print(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
