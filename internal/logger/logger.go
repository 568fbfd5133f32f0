package logger

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Setup makes klog write JSON lines to w up to a verbosity.
func Setup(w io.Writer, node string, verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		return fmt.Errorf("set log verbosity: %w", err)
	}
	// klog maps verbosity n to the slog level -n; the handler lets all of them pass, as klog has decided already.
	options := &slog.HandlerOptions{Level: slog.Level(-verbosity), ReplaceAttr: pascalCase}
	handler := slog.NewJSONHandler(w, options).WithAttrs([]slog.Attr{slog.String("Node", node)})
	klog.SetSlogLogger(slog.New(handler))
	return nil
}

// pascalCase renames the handler's own fields to the case of the project's formats.
func pascalCase(_ []string, a slog.Attr) slog.Attr {
	switch a.Key {
	case slog.TimeKey:
		a.Key = "Time"
	case slog.LevelKey:
		a.Key = "Level"
	case slog.MessageKey:
		a.Key = "Message"
	case "err":
		a.Key = "Error"
	}
	return a
}
