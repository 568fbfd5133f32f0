package manager

// ShareMeter decides which jobs of a customer are within its share. It is not safe for concurrent use.
type ShareMeter interface {
	// Take reports whether a job that a customer with the given weight submits now is within its share, and counts it.
	Take(now Time, c CustomerID, weight float64) bool
	// ReturnAfter returns when a caller whose job was refused as surplus should submit it again. Callers that are
	// refused together return at different times.
	ReturnAfter(now Time, c CustomerID, weight float64) Duration
}
