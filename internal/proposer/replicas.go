package proposer

import (
	"context"
	"fmt"
	"net/http"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Replicas reads the members of the replica group.
func (c *Client) Replicas(ctx context.Context) (Replicas, error) {
	var list Replicas
	err := c.read(ctx, PathReplicas, &list)
	return list, err
}

// AddReplica adds a running controller with an empty disk; it becomes a voter once it has caught up.
func (c *Client) AddReplica(ctx context.Context, m manager.ReplicaMember) (Replicas, error) {
	return c.changeReplicas(ctx, PathReplicas, m)
}

// RemoveReplica removes a controller permanently; its ID can't be used again.
func (c *Client) RemoveReplica(ctx context.Context, id manager.ReplicaID) (Replicas, error) {
	return c.changeReplicas(ctx, fmt.Sprintf("%s/%d/remove", PathReplicas, id), struct{}{})
}

// changeReplicas changes the members. It is not retried if the answer was lost: the list of replicas
// shows the outcome.
func (c *Client) changeReplicas(ctx context.Context, path string, body any) (Replicas, error) {
	var list Replicas
	if err := c.do(ctx, call{method: http.MethodPost, path: path, body: body, answer: &list}); err != nil {
		return list, fmt.Errorf("change replicas: %w", err)
	}
	return list, nil
}
