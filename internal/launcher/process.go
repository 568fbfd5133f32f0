package launcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

const fileMode = 0o600

// Build builds the program from a package two folders up into a folder and returns its file.
func Build(folder string) (string, error) {
	binary := filepath.Join(folder, "mulberryhaven")
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", binary, "../../cmd/mulberryhaven").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build program: %s: %w", out, err)
	}
	return binary, nil
}

// Process is one process of the program.
type Process struct {
	// Binary is the program's file.
	Binary string
	// Folder takes the settings file and the log.
	Folder string
	// Node names the process.
	Node string
	// Command is the program's command that runs with the settings.
	Command  string
	Settings any

	command *exec.Cmd
	log     *os.File
}

// WriteSettings replaces the settings file, so that no reader finds a part of it; a running process notices that.
func (p *Process) WriteSettings() error {
	data, err := json.MarshalIndent(p.Settings, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	next := p.settingsFile() + ".next"
	if err := os.WriteFile(next, data, fileMode); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := os.Rename(next, p.settingsFile()); err != nil {
		return fmt.Errorf("replace settings: %w", err)
	}
	return nil
}

func (p *Process) settingsFile() string { return filepath.Join(p.Folder, p.Node+".json") }

// Start starts the process.
func (p *Process) Start() error {
	err := p.WriteSettings()
	if err != nil {
		return err
	}
	p.log, err = os.OpenFile(p.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	p.command = exec.CommandContext(context.Background(), p.Binary, p.Command, "--config", p.settingsFile())
	// A limit on the size of the process's files must not befall its log: it writes to a pipe.
	output := struct{ io.Writer }{p.log}
	p.command.Stdout = output
	p.command.Stderr = output
	if err := p.command.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", p.Node, err), p.log.Close())
	}
	return nil
}

// LogFile is where the process logs.
func (p *Process) LogFile() string { return filepath.Join(p.Folder, p.Node+".log") }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.Node, err)
	}
	return nil
}

// Running tells whether the process was started and not waited for.
func (p *Process) Running() bool { return p.command != nil }

// Kill ends the process at once.
func (p *Process) Kill() error {
	if p.command == nil {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = p.Wait()
	return nil
}

// Wait waits for the end of the process and returns its failure.
func (p *Process) Wait() error {
	err := p.command.Wait()
	p.command = nil
	if err := p.log.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	if err != nil {
		return fmt.Errorf("%s ended: %w", p.Node, err)
	}
	return nil
}
