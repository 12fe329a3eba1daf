import type {ControlReport} from '@lovagevalve/dispatch';
import type {Admission} from './admission.js';
import type {BackendView} from './backend-view.js';
import type {CrashWatch} from './crash-watch.js';
import type {EntryPeers} from './entry-peers.js';
import type {createTaskGuard} from './guard.js';
import type {RetryBudgets} from './retry-budgets.js';
import type {RolloutVersions} from './rollout-versions.js';

/** Parts of an entry that apply the reports of control instances. */
export type ReportReceivers = Readonly<{
	tasks: Pick<ReturnType<typeof createTaskGuard>, 'run'>;
	peers: Pick<EntryPeers, 'applyReport'>;
	retryBudgets: Pick<RetryBudgets, 'updateRemoteCounts'>;
	crashes: Pick<CrashWatch, 'applyReport'>;
	/** Absent where roll-outs are not in force. */
	rollouts: Pick<RolloutVersions, 'applyReport'> | undefined;
	view: Pick<BackendView, 'applyReport'>;
	/** Absent where streams don't wait at the entry. */
	admission: Pick<Admission, 'applyReport'> | undefined;
}>;

/** Creates what applies a report; one part that can't be applied leaves the others in force. */
export function createReportHandler({
	tasks,
	peers,
	retryBudgets,
	crashes,
	rollouts,
	view,
	admission,
}: ReportReceivers): (control: string, report: ControlReport) => void {
	return (control, report) => {
		const {overview} = report;
		tasks.run(() => {
			peers.applyReport(control, report);
		});
		tasks.run(() => {
			if (overview !== undefined) {
				retryBudgets.updateRemoteCounts(overview.retries);
			}
		});
		tasks.run(() => {
			crashes.applyReport(control, report);
		});
		tasks.run(() => {
			rollouts?.applyReport(control, report);
		});
		tasks.run(() => {
			view.applyReport(report);
		});
		tasks.run(() => {
			admission?.applyReport(overview);
		});
	};
}
