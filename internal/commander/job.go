package commander

import (
	"fmt"
	"net/url"
	"os"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func newJob(o *options) *cobra.Command {
	return newGroup("job", "Submit and watch jobs", newJobSubmit(o), newJobStatus(o), newJobCancel(o))
}

func jobTable(j manager.JobStatus) table {
	t := table{header: []string{"Job", "Team", "Class", "State", "VM", "Rule", "Awaits", "Reason"}}
	var vm manager.VMID
	if j.Lease != nil {
		vm = j.Lease.VM
	}
	t.add(j.Job.Job, j.Team, j.Class, j.State, vm, j.Rule, j.Awaits, j.Reason)
	return t
}

func newJobSubmit(o *options) *cobra.Command {
	var file, command string
	cmd := &cobra.Command{
		Use: "submit --file FILE", Short: "Queue a job", Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			j, err := readJob(file)
			if err != nil {
				return errUsage{err}
			}
			change := operator.JobChange{Change: newChange(command), Job: j}
			return changeJob(cmd, o, "/api/jobs", change.Change, change)
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "the job as JSON")
	addCommandID(cmd, &command)
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func readJob(file string) (manager.Job, error) {
	var j manager.Job
	f, err := os.Open(file)
	if err != nil {
		return j, fmt.Errorf("open job: %w", err)
	}
	defer f.Close()
	if err := configurer.Decode(f, &j); err != nil {
		return j, fmt.Errorf("job in %s: %w", file, err)
	}
	return j, nil
}

func newJobStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status JOB", Short: "Show a job and what it waits for", Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var j manager.JobStatus
			if err := o.client().Get(cmd.Context(), "/api/jobs/"+url.PathEscape(args[0]), &j); err != nil {
				return err
			}
			return o.print(j, jobTable(j))
		},
	}
}

func newJobCancel(o *options) *cobra.Command {
	var command string
	cmd := &cobra.Command{
		Use: "cancel JOB...", Short: "Cancel jobs, all in one change; running tasks are stopped", Args: atLeast(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := newChange(command)
			if len(args) > 1 {
				return cancelJobs(cmd, o, change, args)
			}
			return changeJob(cmd, o, "/api/jobs/"+url.PathEscape(args[0])+"/cancel", change, change)
		},
	}
	addCommandID(cmd, &command)
	return cmd
}

func cancelJobs(cmd *cobra.Command, o *options, change operator.Change, args []string) error {
	body := operator.JobsCancellation{Change: change}
	for _, id := range args {
		body.Jobs = append(body.Jobs, manager.JobID(id))
	}
	var answer operator.JobsCancelled
	if err := o.client().Post(cmd.Context(), "/api/jobs/cancel", body, &answer); err != nil {
		return explainChange(change, err)
	}
	t := table{header: []string{"Job", "Result"}}
	t.add("all", fmt.Sprintf("%d cancelled", answer.Cancelled))
	for _, r := range answer.Refused {
		t.add(r.Job, r.Failure.Err())
	}
	return o.print(answer, t)
}

func changeJob(cmd *cobra.Command, o *options, path string, change operator.Change, body any) error {
	var j manager.JobStatus
	if err := o.client().Post(cmd.Context(), path, body, &j); err != nil {
		return explainChange(change, err)
	}
	return o.print(j, jobTable(j))
}
