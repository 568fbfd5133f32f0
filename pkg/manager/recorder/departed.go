package recorder

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Departed holds the latest settings of what has left the configuration while it had jobs, as accepted jobs go on.
type Departed struct {
	Customers map[manager.CustomerID]manager.CustomerSettings `json:",omitempty"`
	Queues    map[manager.QueueID]manager.QueueSettings       `json:",omitempty"`
}

// Queue returns the settings of a queue. A queue that has left the configuration keeps its last ones while it has jobs.
func (st *State) Queue(id manager.QueueID) (manager.QueueSettings, bool) {
	if st.Configuration != nil {
		if q, ok := st.Configuration.Queue(id); ok {
			return q, true
		}
	}
	q, ok := st.Departed.Queues[id]
	return q, ok
}

// depart keeps the settings of the customers and queues that the next configuration drops.
func (st *State) depart(next *manager.FleetConfiguration) {
	d := &st.Departed
	for _, s := range next.Customers {
		delete(d.Customers, s.Customer)
	}
	for _, q := range next.Queues {
		delete(d.Queues, q.Queue)
	}
	if st.Configuration == nil {
		return
	}
	for _, s := range st.Configuration.Customers {
		if _, ok := next.Customer(s.Customer); !ok {
			if d.Customers == nil {
				d.Customers = map[manager.CustomerID]manager.CustomerSettings{}
			}
			s.Keys = nil
			d.Customers[s.Customer] = s
		}
	}
	for _, q := range st.Configuration.Queues {
		if _, ok := next.Queue(q.Queue); !ok {
			if d.Queues == nil {
				d.Queues = map[manager.QueueID]manager.QueueSettings{}
			}
			d.Queues[q.Queue] = q
		}
	}
}

// dropDeparted removes the departed settings that no job needs. It runs after the submits of the entry that changes the
// configuration, as one of them may need what leaves.
func (st *State) dropDeparted() {
	d := &st.Departed
	if len(d.Customers)+len(d.Queues) == 0 {
		return
	}
	customers, queues := map[manager.CustomerID]bool{}, map[manager.QueueID]bool{}
	for _, j := range st.Jobs {
		if !j.State.Ended() || j.openRuns > 0 {
			customers[j.Customer], queues[j.Queue] = true, true
		}
	}
	for id := range d.Customers {
		if !customers[id] {
			delete(d.Customers, id)
		}
	}
	for id := range d.Queues {
		if !queues[id] {
			delete(d.Queues, id)
		}
	}
}
