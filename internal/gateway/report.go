package gateway

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// report tells the controllers the revision in force here and what each service's queue asks for.
func (s *Service) report(ctx context.Context) {
	r := proposer.DemandReport{
		Gateway:  manager.GatewayID(s.Settings.Node),
		Revision: s.configuration.revision(),
		Demand:   s.dispatcher.Demand(),
	}
	if err := s.Client.Report(ctx, r); err != nil && ctx.Err() == nil {
		klog.V(2).InfoS("Report not sent", "Error", err.Error())
	}
}
