package commander

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func newReplica(o *options) *cobra.Command {
	return newGroup("replica", "Look at and change the controllers of the group",
		&cobra.Command{
			Use: "list", Short: "List the controllers", Args: exactly(0),
			RunE: func(cmd *cobra.Command, _ []string) error {
				var list proposer.Replicas
				if err := o.client().Get(cmd.Context(), "/api/replicas", &list); err != nil {
					return err
				}
				return o.print(list, replicaTable(list))
			},
		},
		&cobra.Command{
			Use: "add ID ADDRESS", Short: "Add a controller that runs with an empty data folder and a new id", Args: exactly(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				id, err := parseReplica(args[0])
				if err != nil {
					return err
				}
				m := manager.ReplicaMember{Replica: id, Address: manager.Address(args[1])}
				return o.changeReplicas(cmd, "/api/replicas", m)
			},
		},
		&cobra.Command{
			Use: "remove ID", Short: "Remove a controller for good", Args: exactly(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if _, err := parseReplica(args[0]); err != nil {
					return err
				}
				return o.changeReplicas(cmd, "/api/replicas/"+args[0]+"/remove", struct{}{})
			},
		},
	)
}

func parseReplica(s string) (manager.ReplicaID, error) {
	id, err := strconv.ParseUint(s, 10, 64)
	if err != nil || id == 0 {
		return 0, errUsage{manager.ErrInvalid{Field: "ID", Reason: "must be a number above 0"}}
	}
	return manager.ReplicaID(id), nil
}

func (o *options) changeReplicas(cmd *cobra.Command, path string, body any) error {
	var list proposer.Replicas
	if err := o.client().Post(cmd.Context(), path, body, &list); err != nil {
		return err
	}
	return o.print(list, replicaTable(list))
}

func replicaTable(list proposer.Replicas) table {
	t := table{header: []string{"Replica", "Address", "Zone", "Role"}}
	for _, m := range list.Replicas {
		role := "voter"
		switch {
		case m.Replica == list.Leader:
			role = "leader"
		case m.Learner:
			role = "learner"
		}
		t.add(m.Replica, m.Address, m.AvailabilityZone, role)
	}
	return t
}
