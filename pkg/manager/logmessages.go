package manager

// LogMessage explains one message of the log.
type LogMessage struct {
	Message string
	// Role says which node writes it: any, a replica, or the one that leads.
	Role    string
	Meaning string
}

// Messages of the log; docs/LOGS.md is made from LogMessages.
const (
	LogAdviceAnswered                = "Advice answered"
	LogAdviceAsked                   = "Advice asked"
	LogAdviceFailed                  = "Advice failed"
	LogAnswerNotEncoded              = "Answer not encoded"
	LogCallNotAnswered               = "Call not answered"
	LogChangesNotCommitted           = "Changes not committed"
	LogStaleConfigurationIgnored     = "Configuration overtaken"
	LogConfigurationAccepted         = "Configuration taken"
	LogDataFolderCleared             = "Data folder emptied, as the group has removed this replica"
	LogDispatcherEnded               = "Dispatcher ended"
	LogDispatcherStarted             = "Dispatcher started"
	LogGroupCreated                  = "Group founded"
	LogHeartbeatRefused              = "Heartbeat refused"
	LogJobAccepted                   = "Job accepted"
	LogJobCancelled                  = "Job cancelled"
	LogJobEnded                      = "Job ended"
	LogJobRefused                    = "Job refused"
	LogLinesDropped                  = "Log lines dropped"
	LogCallRefused                   = "Call refused"
	LogLeaderFound                   = "Leader found"
	LogListenerFailed                = "Listener failed"
	LogNodeDidNotStopCleanly         = "Node did not stop cleanly"
	LogNodeStarted                   = "Node started"
	LogNodeStopped                   = "Node stopped"
	LogNotJoinedYet                  = "Not joined yet"
	LogOccurrenceStarted             = "Occurrence begins"
	LogOperatorCallFailed            = "Operator's call failed"
	LogOperatorCallRefused           = "Operator's call refused"
	LogPlatformOrderNotCreated       = "Order to the platform not created"
	LogPlatformOrderNotEncoded       = "Order to the platform not encoded"
	LogPlatformOrderNotSent          = "Order to the platform not sent"
	LogPlatformOutcomeDropped        = "Outcome of an order to the platform dropped"
	LogShutdownStarted               = "Planned stop begins"
	LogPlatformAnswered              = "Platform answered"
	LogPlatformDidNotAnswer          = "Platform did not answer"
	LogPlatformListNotRead           = "Platform's list not read"
	LogPlatformRefusalNotRead        = "Platform's refusal not read"
	LogPoolLoad                      = "Pool loaded"
	LogReplicaAdded                  = "Replica joins"
	LogReplicaLostDisk               = "Replica lost its disk"
	LogReplicaRoleChanged            = "Replica's role changed"
	LogReplicaStarted                = "Replica started"
	LogReplicaStopped                = "Replica stopped, as its disk can't be trusted"
	LogRunEnded                      = "Run ended"
	LogRunLost                       = "Run lost"
	LogRunEvicted                    = "Run recalled"
	LogRunStalled                    = "Run stalled"
	LogRunStopped                    = "Run stopped"
	LogSeedsChanged                  = "Seeds changed"
	LogReloadingSettings             = "Settings are read again"
	LogSettingsRejected              = "Settings not taken, the old ones stay"
	LogUnreachableReplicaNotRemoved  = "Silent replica not removed"
	LogUnreachableReplicaRemoved     = "Silent replica removed"
	LogSlowSync                      = "Slow sync"
	LogTransferringLeadership        = "Leadership is handed over, as the disk is full"
	LogSnapshotNotStored             = "Snapshot not stored"
	LogTaskPlaced                    = "Task placed"
	LogTaskUnplaceable               = "Task stranded"
	LogMaintenanceDone               = "Upkeep done"
	LogMaintenanceEndedWithoutWorker = "Upkeep ended without a worker"
	LogMaintenanceOrdered            = "Upkeep ordered"
	LogVMMoveOrdered                 = "VM moves"
	LogWaveAccepted                  = "Wave taken"
	LogWorkerDraining                = "Worker drains"
	LogWorkerLost                    = "Worker gone"
	LogWorkerRegistered              = "Worker known"
	LogWorkerLeft                    = "Worker left"
)

// LogMessages lists the messages that a node writes about the fleet's work.
func LogMessages() []LogMessage {
	return []LogMessage{
		{LogAdviceAnswered, "Leader", "The service that permits workers has answered for a step; Failed says that it is asked again."},
		{LogAdviceAsked, "Leader", "The service that permits workers is asked for those with the most room."},
		{LogAdviceFailed, "Leader", "A call to the service that permits workers failed; Reason says how."},
		{LogAnswerNotEncoded, "Any", "An answer could not be encoded: a fault of the program."},
		{LogCallNotAnswered, "Any", "A caller's time passed without a reply of a leader; Sent says that one may have taken the call, Isolated that none has answered this node for longer than an election takes."},
		{LogChangesNotCommitted, "Leader", "A commit failed; its callers get no clear answer, and the dispatcher starts over."},
		{LogStaleConfigurationIgnored, "Leader", "A configuration that is not newer than the one held was acknowledged and changes nothing."},
		{LogConfigurationAccepted, "Leader", "A newer configuration is being committed."},
		{LogDataFolderCleared, "Replica", "The disk joins again as a new one."},
		{LogDispatcherEnded, "Leader", "This node does not dispatch any more."},
		{LogDispatcherStarted, "Leader", "This node dispatches from now on, with Token as fencing token."},
		{LogGroupCreated, "Replica", "The replica group was founded, once for the life of the system."},
		{LogHeartbeatRefused, "Any", "A heartbeat could not be read; it changes nothing."},
		{LogJobAccepted, "Leader", "A job is being committed."},
		{LogJobCancelled, "Leader", "A job's cancelling is being committed."},
		{LogJobEnded, "Leader", "A job is over; InTime says whether it met its objective, and Waited how long its first task waited."},
		{LogJobRefused, "Any", "A job was not taken and never runs."},
		{LogLinesDropped, "Any", "The log was written faster than it is read; Minor and Essential count the lines that are missing."},
		{LogCallRefused, "Any", "A caller got an answer other than success, with its status."},
		{LogLeaderFound, "Any", "Calls go to another leader from now on."},
		{LogListenerFailed, "Any", "A listener ended by itself."},
		{LogNodeDidNotStopCleanly, "Any", "Something was still at work when the grace ended."},
		{LogNodeStarted, "Any", "The process serves."},
		{LogNodeStopped, "Any", "The process ends."},
		{LogNotJoinedYet, "Replica", "The group has not taken this disk in."},
		{LogOccurrenceStarted, "Leader", "A job that repeats is due once more; its tasks carry the number of the occurrence."},
		{LogOperatorCallFailed, "Any", "An operator's call got no clear answer, or was refused for a reason named."},
		{LogOperatorCallRefused, "Any", "An operator's call is not valid."},
		{LogPlatformOrderNotCreated, "Leader", "An order could not be made: its address is wrong."},
		{LogPlatformOrderNotEncoded, "Leader", "An order could not be encoded: a fault of the program."},
		{LogPlatformOrderNotSent, "Leader", "An order waited too long for others, or its dispatcher may not lead any more; it is decided anew."},
		{LogPlatformOutcomeDropped, "Leader", "The dispatcher ended before the outcome came; the next one repeats the order."},
		{LogShutdownStarted, "Any", "A signal asked the process to stop."},
		{LogPlatformAnswered, "Leader", "The outcome of an order for a VM."},
		{LogPlatformDidNotAnswer, "Leader", "An order may have been taken; it is repeated."},
		{LogPlatformListNotRead, "Leader", "The list of VMs is read again later."},
		{LogPlatformRefusalNotRead, "Leader", "A refusal without a reason counts as a busy VM."},
		{LogPoolLoad, "Leader", "What a pool needs and has, once a second while it has work."},
		{LogReplicaAdded, "Leader", "A disk becomes a replica, first without a vote."},
		{LogReplicaLostDisk, "Leader", "Another disk runs at a replica's address, so that the old one is removed."},
		{LogReplicaRoleChanged, "Replica", "The replica leads, follows another leader, or has lost its leader; Leader 0 stands for none."},
		{LogReplicaStarted, "Replica", "The replica takes part with what its disk holds."},
		{LogReplicaStopped, "Replica", "A write or sync failed; the replica takes part in nothing until a restart."},
		{LogRunEnded, "Leader", "A worker reported the end of a run."},
		{LogRunLost, "Leader", "A run ended with its worker's life or lease, without a report."},
		{LogRunEvicted, "Leader", "A lasting task is to be stopped and started elsewhere, within its step's budget."},
		{LogRunStalled, "Leader", "A run makes no progress and is to be started elsewhere."},
		{LogRunStopped, "Leader", "A worker is told to stop a run."},
		{LogSeedsChanged, "Any", "The settings name other seeds."},
		{LogReloadingSettings, "Any", "A signal came or the settings file changed."},
		{LogSettingsRejected, "Any", "Changed settings are not valid."},
		{LogUnreachableReplicaNotRemoved, "Leader", "Another change of the replicas is under way."},
		{LogUnreachableReplicaRemoved, "Leader", "A replica that is not heard was replaced by another voter."},
		{LogTransferringLeadership, "Replica", "The leader's disk takes no change; another replica is asked to lead."},
		{LogSlowSync, "Replica", "A write to the disk took so long that elections and commits suffer."},
		{LogSnapshotNotStored, "Replica", "The disk has no room for a snapshot; the log grows meanwhile."},
		{LogTaskPlaced, "Leader", "A run of a task is given to a worker; its order goes out with the answer to a report."},
		{LogTaskUnplaceable, "Leader", "A task or gang finds no worker that has room beside the lasting tasks, so that its pool gets a VM."},
		{LogMaintenanceDone, "Leader", "A VM of a wave is back from its upkeep."},
		{LogMaintenanceEndedWithoutWorker, "Leader", "A VM of a wave is up without a worker, or gone for good."},
		{LogMaintenanceOrdered, "Leader", "A VM's upkeep is recorded; the platform is called next."},
		{LogVMMoveOrdered, "Leader", "A VM is ordered into another pool, as that pool's load is the highest."},
		{LogWaveAccepted, "Leader", "An upkeep wave is being committed."},
		{LogWorkerDraining, "Leader", "A worker says that it will leave; it gets nothing more."},
		{LogWorkerLost, "Leader", "A worker was not heard for longer than its lease and is forgotten."},
		{LogWorkerRegistered, "Leader", "A life of a worker was heard for the first time."},
		{LogWorkerLeft, "Leader", "A worker said that it is gone."},
	}
}
