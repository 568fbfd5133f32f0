package manager

// FieldChange is one field of a document that a change would alter; values are JSON.
type FieldChange struct {
	Field string
	From  string
	To    string
}

// PoolChange is what a profile change would do to a pool's budget, in VMs.
type PoolChange struct {
	Pool        PoolID
	VMs         int
	Unavailable int
	BudgetFrom  int
	BudgetTo    int
}

// WaveChange is what a profile change would do to a wave.
type WaveChange struct {
	Wave   WaveID
	State  WaveState
	Effect string
}

// ProfilePreview is what a profile change would do if it were applied now.
type ProfilePreview struct {
	Profile ProfileID
	// Version is the one that the change would get.
	Version Version
	Changes []FieldChange
	Pools   []PoolChange
	Waves   []WaveChange
	// Moves lists the VMs that would start to move, which would stay without the change.
	Moves []StartMove
}
