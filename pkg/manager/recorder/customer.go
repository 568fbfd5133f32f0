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
	s, ok := st.Departed[c]
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

// depart keeps the settings of the customers that the next configuration drops.
func (st *State) depart(next *manager.FleetConfiguration) {
	for _, s := range next.Customers {
		delete(st.Departed, s.Customer)
	}
	if st.Configuration == nil {
		return
	}
	for _, s := range st.Configuration.Customers {
		if _, ok := next.Customer(s.Customer); ok {
			continue
		}
		if st.Departed == nil {
			st.Departed = map[manager.CustomerID]manager.CustomerSettings{}
		}
		s.Keys = nil
		st.Departed[s.Customer] = s
	}
}

// dropDeparted removes the settings of departed customers without jobs. It runs after the submits of the entry that changes the
// configuration, as one of them may be of a customer that leaves.
func (st *State) dropDeparted() {
	if len(st.Departed) == 0 {
		return
	}
	withJobs := map[manager.CustomerID]bool{}
	for _, j := range st.Jobs {
		if !j.State.Ended() || j.openRuns > 0 {
			withJobs[j.Customer] = true
		}
	}
	for id := range st.Departed {
		if !withJobs[id] {
			delete(st.Departed, id)
		}
	}
}
