package manager

// LogMessage documents a log message.
type LogMessage struct {
	Message string
	// Role is the node that writes it: any node, a replica, or the leader.
	Role    string
	Meaning string
}

// Log messages; docs/LOGS.md is generated from LogMessages. Those that the dispatcher writes are also label values of
// mulberryhaven_decisions_total, so that another text changes the metric.
const (
	LogAdviceAnswered                = "Advice answered"
	LogAdviceAsked                   = "Advice asked"
	LogAdviceFailed                  = "Advice failed"
	LogAnswerNotEncoded              = "Answer not encoded"
	LogCallNotAnswered               = "Call not answered"
	LogChangesNotCommitted           = "Changes not committed"
	LogStaleConfigurationIgnored     = "Configuration overtaken"
	LogConfigurationAccepted         = "Configuration taken"
	LogCheckpointNotKept             = "Checkpoint not kept"
	LogCustomerAtCap                 = "Customer at cap"
	LogDataFolderCleared             = "Data folder cleared because the group removed this replica"
	LogDispatcherEnded               = "Dispatcher ended"
	LogDispatcherStarted             = "Dispatcher started"
	LogElectionNotWon                = "Election not won"
	LogGroupCreated                  = "Replica group created"
	LogHeartbeatRefused              = "Heartbeat refused"
	LogJobAccepted                   = "Job accepted"
	LogJobCancelled                  = "Job cancelled"
	LogJobEnded                      = "Job ended"
	LogJobGivenUp                    = "Job given up"
	LogJobRefused                    = "Job refused"
	LogLinesDropped                  = "Log lines dropped"
	LogCallRefused                   = "Call refused"
	LogLeaderFound                   = "Leader found"
	LogLeaderNotFound                = "Leader not found"
	LogListNotUsed                   = "List not used"
	LogListEntryNotUsed              = "List entry not used"
	LogListenerFailed                = "Listener failed"
	LogNodeDidNotStopCleanly         = "Node did not stop cleanly"
	LogNodeFailed                    = "Node failed"
	LogNodeStarted                   = "Node started"
	LogNodeStopped                   = "Node stopped"
	LogNotJoinedYet                  = "Not joined yet"
	LogOccurrenceStarted             = "Occurrence begins"
	LogOperatorCallFailed            = "Operator call failed"
	LogOperatorCallRefused           = "Operator call refused"
	LogPlatformOrderNotCreated       = "Platform order not created"
	LogPlatformOrderNotEncoded       = "Platform order not encoded"
	LogPlatformOrderNotSent          = "Platform order not sent"
	LogPlatformOutcomeDropped        = "Platform order outcome dropped"
	LogShutdownStarted               = "Shutdown started"
	LogPlatformAnswered              = "Platform answered"
	LogPlatformDidNotAnswer          = "Platform did not answer"
	LogPlatformListNotRead           = "Platform VM list not read"
	LogPlatformRefusalNotRead        = "Platform refusal not read"
	LogPoolLoad                      = "Pool loaded"
	LogReservationEnded              = "Reservation ended"
	LogRackWaitEnded                 = "Wait for a rack ended"
	LogReplicaAdded                  = "Replica added"
	LogReplicaLostDisk               = "Replica lost its disk"
	LogVoterLostDisk                 = "Voter lost its disk"
	LogReplicaMembersChanged         = "Replica members changed"
	LogReplicaRoleChanged            = "Replica role changed"
	LogReplicaStarted                = "Replica started"
	LogReplicaStopped                = "Replica stopped after an error"
	LogRunEnded                      = "Run ended"
	LogRunLost                       = "Run lost"
	LogRunEvicted                    = "Run recalled"
	LogRunStalled                    = "Run stalled"
	LogRunStopped                    = "Run stopped"
	LogRunWithdrawn                  = "Run withdrawn"
	LogSeedNotUsed                   = "Seed not used"
	LogSeedsChanged                  = "Seeds changed"
	LogReloadingSettings             = "Reloading settings"
	LogSettingsRejected              = "Settings rejected, keeping the previous ones"
	LogUnreachableReplicaNotRemoved  = "Unreachable replica not removed"
	LogUnreachableReplicaRemoved     = "Unreachable replica removed"
	LogSlowSync                      = "Slow sync"
	LogTransferringLeadership        = "Transferring leadership because the disk takes no changes"
	LogFreeingDiskSpace              = "Freeing disk space"
	LogSnapshotNotStored             = "Snapshot not stored"
	LogTaskPlaced                    = "Task placed"
	LogTaskUnplaceable               = "Task stranded"
	LogMaintenanceDone               = "Upkeep done"
	LogMaintenanceEndedWithoutWorker = "Upkeep ended without a worker"
	LogMaintenanceOrdered            = "Upkeep ordered"
	LogVMMoveOrdered                 = "VM moves"
	LogWaveAccepted                  = "Wave taken"
	LogWriteNotStored                = "Write not stored"
	LogWritesStoredAgain             = "Writes stored again"
	LogWorkerCrashed                 = "Worker crashed"
	LogRackCrashed                   = "Rack crashed"
	LogWorkerDraining                = "Worker drains"
	LogWorkerLost                    = "Worker gone"
	LogWorkerRegistered              = "Worker known"
	LogWorkerLeft                    = "Worker left"
)

// LogMessages lists the log messages of a fleet node.
func LogMessages() []LogMessage {
	return []LogMessage{
		{LogAdviceAnswered, "Leader", "The advisor service answered which workers may run a step. If Failed is set, it is asked again."},
		{LogAdviceAsked, "Leader", "The advisor service is asked which workers may run a step, among those with the most free resources."},
		{LogAdviceFailed, "Leader", "A call to the advisor service failed; Reason is the error. While calls fail, one in a minute is logged; Skipped counts the others."},
		{LogAnswerNotEncoded, "Any", "An answer could not be encoded, because of a bug in the program."},
		{LogCallNotAnswered, "Any", "No leader replied before the call timed out. Sent means that one may have accepted the call, Isolated that none has answered this node for longer than an election takes."},
		{LogChangesNotCommitted, "Leader", "A commit failed. Its callers get no definite answer, and the dispatcher restarts."},
		{LogStaleConfigurationIgnored, "Leader", "A configuration that is not newer than the current one was acknowledged without effect."},
		{LogConfigurationAccepted, "Leader", "A newer configuration is being committed."},
		{LogCheckpointNotKept, "Leader", "The replicated state has no room for the checkpoint of a run that ended; the task starts from the one before."},
		{LogCustomerAtCap, "Leader", "The cap of a customer keeps jobs from starting, FirstWaiting first; once a second for each customer while that lasts. InUse is what its open runs use."},
		{LogDataFolderCleared, "Replica", "The disk joins the group again as a new one."},
		{LogDispatcherEnded, "Leader", "This node stops dispatching."},
		{LogDispatcherStarted, "Leader", "This node starts dispatching, with Token as its fencing token."},
		{LogElectionNotWon, "Replica", "This replica has sought votes for ForMs without a winner. Granted, Refused and Unheard are the voters by their latest answer."},
		{LogGroupCreated, "Replica", "The replica group was bootstrapped, which happens once in the lifetime of the system."},
		{LogHeartbeatRefused, "Any", "A heartbeat names no usable worker and is answered with 400. Each worker is logged once in ten minutes."},
		{LogJobAccepted, "Leader", "A job is being committed; Customer is who submitted it, if it has a customer."},
		{LogJobCancelled, "Leader", "The cancellation of a job is being committed."},
		{LogJobEnded, "Leader", "A job has ended; InTime tells whether it met its objective, and WaitedMs how long its first task waited. Customer is who submitted it, if it has a customer."},
		{LogJobGivenUp, "Leader", "A job fails because workers crash when they start one of its tasks; Crashes counts them."},
		{LogJobRefused, "Any", "A job was refused and never runs; Customer is who submitted it, if it has a customer."},
		{LogLinesDropped, "Any", "Log lines were written faster than they are read; Minor and Essential count the missing lines."},
		{LogCallRefused, "Any", "A caller got an answer other than success; Status is its status code, Reason why. No line names an API key."},
		{LogLeaderFound, "Any", "Calls are sent to another leader from now on."},
		{LogLeaderNotFound, "Any", "No node has named a leader for ForMs; the search goes on. Unreached nodes did not answer, Unaware ones know no leader."},
		{LogListNotUsed, "Leader", "The list of VMs was requested by an earlier dispatcher, or before one that was answered sooner."},
		{LogListEntryNotUsed, "Leader", "An entry of the platform's list of VMs is unusable for Reason. Its VM keeps its place in waves and is not lent; without a VM, no VM counts as gone. The first entries with each reason are logged."},
		{LogListenerFailed, "Any", "A listener stopped unexpectedly."},
		{LogNodeDidNotStopCleanly, "Any", "Work was still running when the grace period ended."},
		{LogNodeFailed, "Any", "A part of the node has ended for good. The process stops what is in flight and exits with an error, to be restarted."},
		{LogNodeStarted, "Any", "The process is serving."},
		{LogNodeStopped, "Any", "The process exits."},
		{LogNotJoinedYet, "Replica", "The group has not added this disk yet."},
		{LogOccurrenceStarted, "Leader", "A repeating job is due again; its task IDs contain the number of the occurrence."},
		{LogOperatorCallFailed, "Any", "An operator's call got no definite answer, or was refused; Error is the reason."},
		{LogOperatorCallRefused, "Any", "An operator's call is invalid."},
		{LogPlatformOrderNotCreated, "Leader", "An order could not be created because its address is invalid."},
		{LogPlatformOrderNotEncoded, "Leader", "An order could not be encoded, because of a bug in the program."},
		{LogPlatformOrderNotSent, "Leader", "An order waited too long for others, or its dispatcher may no longer be the leader; it is decided again."},
		{LogPlatformOutcomeDropped, "Leader", "The dispatcher ended before the outcome arrived; the next one repeats the order."},
		{LogShutdownStarted, "Any", "A signal requested a shutdown."},
		{LogPlatformAnswered, "Leader", "The platform answered an order for a VM; Outcome is the result."},
		{LogPlatformDidNotAnswer, "Leader", "An order got no answer and may have been accepted; it is repeated."},
		{LogPlatformListNotRead, "Leader", "The list of VMs could not be read; it is read again later. While that fails, one failure in a minute is logged; Skipped counts the others."},
		{LogPlatformRefusalNotRead, "Leader", "The reason of a refusal could not be read, so the VM is treated as busy."},
		{LogPoolLoad, "Leader", "The load and the VMs of a pool, once a second while it has work."},
		{LogRackWaitEnded, "Leader", "A task stops waiting for capacity on the rack of its data or group after WaitedMs, and starts unless its job has ended. Reason is why; PaidOff means that it started there, after less time than a remote run would have lasted longer."},
		{LogReservationEnded, "Leader", "Workers of the pool were kept free for a gang for ReservedMs, but it could not start in time, so other jobs get them for PausedMs."},
		{LogReplicaAdded, "Leader", "A disk was added to the group as a replica, without a vote at first."},
		{LogReplicaLostDisk, "Leader", "Another disk is in use at a replica's address, so the old replica is removed."},
		{LogVoterLostDisk, "Replica", "Another disk is in use at a voter's address while too few voters are heard, so an election may leave the voter out."},
		{LogReplicaMembersChanged, "Replica", "The members that this replica knows have changed; a learner has no vote."},
		{LogReplicaRoleChanged, "Replica", "The replica became the leader, follows another leader, or has lost its leader; Leader 0 means none."},
		{LogReplicaStarted, "Replica", "The replica started with the state on its disk."},
		{LogReplicaStopped, "Replica", "The replica cannot go on, as its state could not be read or applied; it does not take part again until the process is restarted. Cause is the operating system's error, if there is one."},
		{LogRunEnded, "Leader", "A worker reported the end of a run."},
		{LogRunLost, "Leader", "A worker instance ended or its lease expired without a report of the run, which was open for OpenMs. Reason tells how the loss was noticed."},
		{LogRunEvicted, "Leader", "A long-running task is to be stopped and started on another worker, within the budget of its step."},
		{LogRunStalled, "Leader", "A run makes no progress and is to be started on another worker."},
		{LogRunStopped, "Leader", "A worker is told to stop a run."},
		{LogRunWithdrawn, "Leader", "A run that has not begun no longer fits, as the worker's capacity or the cap of the job's customer has shrunk; its task is placed again."},
		{LogSeedNotUsed, "Any", "An entry of the seeds holds no IP address; the others are used. It is looked at again when the settings change."},
		{LogSeedsChanged, "Any", "The settings list other seeds."},
		{LogReloadingSettings, "Any", "A signal was received or the settings file changed."},
		{LogSettingsRejected, "Any", "The changed settings are invalid."},
		{LogUnreachableReplicaNotRemoved, "Leader", "Another change of the membership is in progress."},
		{LogUnreachableReplicaRemoved, "Leader", "A replica that does not respond is removed because another voter replaces it or it has no vote."},
		{LogTransferringLeadership, "Replica", "The leader's disk is full or takes no write; another replica is asked to become the leader."},
		{LogWriteNotStored, "Replica", "The disk has not taken a write for ForMs; it is repeated and nothing is acknowledged meanwhile. Cause is the operating system's error."},
		{LogWritesStoredAgain, "Replica", "The disk takes writes again after ForMs."},
		{LogSlowSync, "Replica", "A write to the disk was so slow that elections and commits are delayed."},
		{LogFreeingDiskSpace, "Replica", "The disk is nearly full; a snapshot is taken and the log that it covers is deleted."},
		{LogSnapshotNotStored, "Replica", "The disk has no space for a snapshot; the log keeps growing."},
		{LogTaskPlaced, "Leader", "A run of a task was assigned to a worker; its order is sent with the answer to a report."},
		{LogTaskUnplaceable, "Leader", "No worker has enough resources for a task or gang beside the long-running tasks, so its pool gets another VM."},
		{LogMaintenanceDone, "Leader", "A VM of a wave is back after its maintenance."},
		{LogMaintenanceEndedWithoutWorker, "Leader", "A VM of a wave is up without a worker, or no longer exists."},
		{LogMaintenanceOrdered, "Leader", "The maintenance of a VM is recorded; the platform is called next."},
		{LogVMMoveOrdered, "Leader", "A VM is to move to another pool because the load of that pool is the highest."},
		{LogWaveAccepted, "Leader", "A maintenance wave is being committed."},
		{LogRackCrashed, "Leader", "A worker crashed with Tasks tasks together with others of its rack; the crash counts against none of the long-running ones, and Retracted earlier crashes of the rack no longer count against those either."},
		{LogWorkerCrashed, "Leader", "A later worker instance reported from the VM of one with open runs, which nobody had asked to end; the crash counts against Tasks tasks, of which Suspects may have caused it."},
		{LogWorkerDraining, "Leader", "A worker reported that it will leave; it gets no more runs."},
		{LogWorkerLost, "Leader", "A worker sent no report for longer than its lease and was removed."},
		{LogWorkerRegistered, "Leader", "A worker instance sent its first report."},
		{LogWorkerLeft, "Leader", "A worker reported that it is leaving; its open runs end with their lease at the latest."},
	}
}
