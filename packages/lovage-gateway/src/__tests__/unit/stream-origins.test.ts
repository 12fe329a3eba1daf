// An entry that is cut off from control tells others where its streams began.
import {expect, it} from 'vitest';
import {createStreamOrigins} from '../../stream-origins.js';

const origin = {service: 'model', softwareVersion: 'v1'};
const other = {...origin, softwareVersion: 'v2'};

function create() {
	let now = 0;
	const origins = createStreamOrigins({now: () => now, wall: () => now});
	return {
		origins,
		wait(ms: number) {
			now += ms;
		},
		listKeys: (after: number, before: number) =>
			origins.createTelling(after, before).origins.map(([key]) => key),
	};
}

it('tells its own origins once they are old enough', () => {
	const {origins, wait, listKeys} = create();
	origins.record('a', origin, 1000);
	wait(10);
	origins.record('b', origin, 1000);
	expect(listKeys(0, 5)).toEqual(['a']);
	expect(listKeys(1, 10)).toEqual(['b']);
});

it('reports what it was told to control, but tells it to no one else', () => {
	const {origins, listKeys} = create();
	origins.recordTold('a', origin, 1000, undefined);
	expect(origins.createReport(0).origins).toHaveLength(1);
	expect(listKeys(0, 0)).toEqual([]);
	expect(origins.find('a')).toMatchObject({origin});
});

it('does not report what it is told again', () => {
	const {origins} = create();
	origins.recordTold('a', origin, 1000, undefined);
	const {sequence} = origins.createReport(0);
	origins.recordTold('a', origin, 1000, undefined);
	expect(origins.createReport(sequence).origins).toEqual([]);
});

it('two origins under one key make it ambiguous', () => {
	const {origins} = create();
	origins.record('a', origin, 1000);
	origins.recordTold('a', other, 1000, undefined);
	expect(origins.find('a')).toMatchObject({origin, isAmbiguous: true});
});
