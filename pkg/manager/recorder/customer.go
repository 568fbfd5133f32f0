package recorder

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// InUse returns what the open runs of a customer use on all workers. A run counts until its end is recorded, also when its job
// has ended before.
func (st *State) InUse(c manager.CustomerID) manager.Resources { return st.inUse[c] }

// Customer returns the settings of a customer. A customer that has left the configuration keeps its last ones while it
// has jobs.
func (st *State) Customer(c manager.CustomerID) (manager.CustomerSettings, bool) {
	if st.Configuration != nil {
		if s, ok := st.Configuration.Customer(c); ok {
			return s, true
		}
	}
	s, ok := st.Departed.Customers[c]
	return s, ok
}

func (st *State) addUse(j *Job, step int) {
	if j.Customer != "" {
		st.inUse[j.Customer] = st.inUse[j.Customer].Add(j.Steps[step].Reserved())
	}
}

func (st *State) removeUse(j *Job, step int) {
	if j.Customer == "" {
		return
	}
	left := st.inUse[j.Customer].Sub(j.Steps[step].Reserved())
	if left == (manager.Resources{}) {
		delete(st.inUse, j.Customer)
		return
	}
	st.inUse[j.Customer] = left
}
