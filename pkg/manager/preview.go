package manager

// FieldChange is a changed field of a document; the values are JSON.
type FieldChange struct {
	Field string
	From  string
	To    string
}

// PoolChange is the effect of a profile change on the availability budget of a pool, in VMs.
type PoolChange struct {
	Pool        PoolID
	VMs         int
	Unavailable int
	BudgetFrom  int
	BudgetTo    int
}

// WaveChange is the effect of a profile change on a wave.
type WaveChange struct {
	Wave   WaveID
	State  WaveState
	Effect string
}

// ProfilePreview is the effect that a profile change would have if it were applied now.
type ProfilePreview struct {
	Profile ProfileID
	// Version is the version that the changed profile would get.
	Version Version
	Changes []FieldChange
	Pools   []PoolChange
	Waves   []WaveChange
	// Moves lists the moves that would start because of the change.
	Moves []StartMove
}
