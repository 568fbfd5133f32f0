package commander

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"unicode"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/linter"
	"github.com/mulberryhaven/mulberryhaven/platform"
)

// Exit codes of config check for a configuration document.
const (
	exitWarnings = 1
	exitErrors   = 2
)

// standardInput stands for standard input as the name of a file.
const standardInput = "-"

// errFindings ends the program with a code after the findings were printed.
type errFindings struct{ code int }

func (errFindings) Error() string { return "the configuration has findings" }

func newConfigCheck(o *options) *cobra.Command {
	var fleet, asJSON bool
	var against string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration document or a settings file",
		Long: "Check a configuration document before it is sent with PUT /config, or a settings file of the program.\n" +
			"A document has fields such as version and routes; \"-\" reads one from standard input. The exit code is 0\n" +
			"if nothing was found, 1 for warnings and 2 for errors. Only errors make a node refuse or ignore a document.",
		Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if fleet {
				return checkSettings(o, args[0], true)
			}
			data, err := readDocument(cmd, args[0])
			if err != nil {
				return errUsage{err}
			}
			asJSON = asJSON || o.output == outputJSON
			if !asJSON && against == "" && args[0] != standardInput && !platform.IsConfiguration(data) {
				return checkSettings(o, args[0], false)
			}
			report := checkDocument(cmd, data, against)
			if err := printReport(o.out, report, asJSON); err != nil {
				// Any failure of the check itself must not pass for a document with mere warnings.
				return errUsage{err}
			}
			return reportCode(report)
		},
	}
	cmd.Flags().BoolVar(&fleet, "fleet", false, "the file is a settings file for the command fleet")
	cmd.Flags().StringVar(&against, "against", "", "control address of a node, to compare with the version in force")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the findings and changes as one JSON object")
	cmd.MarkFlagsMutuallyExclusive("fleet", "against")
	cmd.MarkFlagsMutuallyExclusive("fleet", "json")
	return cmd
}

func readDocument(cmd *cobra.Command, file string) ([]byte, error) {
	if file == standardInput {
		data, err := io.ReadAll(cmd.InOrStdin())
		if err != nil {
			return nil, fmt.Errorf("standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return data, nil
}

// checkDocument checks a document, against the one in force if an address is given and answers.
func checkDocument(cmd *cobra.Command, data []byte, against string) platform.ConfigurationReport {
	if against == "" {
		return platform.CheckConfiguration(data, nil)
	}
	inForce, err := platform.ReadConfiguration(cmd.Context(), against)
	report := platform.CheckConfiguration(data, inForce)
	if err != nil {
		report.Add(linter.Finding{Severity: linter.Warning, Reason: "the difference from the version in force is not known: " + err.Error()})
	}
	return report
}

func reportCode(r platform.ConfigurationReport) error {
	switch {
	case len(r.Findings) == 0:
		return nil
	case r.Findings[0].Severity == linter.Error:
		return errFindings{exitErrors}
	}
	return errFindings{exitWarnings}
}

func printReport(out io.Writer, r platform.ConfigurationReport, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return fmt.Errorf("print JSON: %w", err)
		}
		return nil
	}
	w := bufio.NewWriter(out)
	if len(r.Findings) == 0 {
		fmt.Fprintln(w, "nothing found")
	}
	for _, f := range r.Findings {
		fmt.Fprintln(w, oneLine(string(f.Severity)+": "+manager.ErrInvalid{Field: fieldOr(f.Path, "document"), Reason: f.Reason}.Error()))
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, oneLine("change: "+describeChange(c)))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print findings: %w", err)
	}
	return nil
}

func fieldOr(path, whole string) string {
	if path == "" {
		return whole
	}
	return path
}

func describeChange(c linter.Change) string {
	text := fieldOr(c.Path, "document")
	if c.Path != "" {
		text += fmt.Sprintf(" %q", c.Name)
	}
	if c.Kind != linter.Changed {
		return text + " " + string(c.Kind)
	}
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = f.Field + " " + f.From + " -> " + f.To
	}
	return text + ": " + strings.Join(fields, ", ")
}

// oneLine replaces control characters, as a finding is one line and goes to a terminal.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}
