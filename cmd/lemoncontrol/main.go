// Command lemoncontrol is the process of a control machine. It stores the settings that change while the fleet runs,
// agrees on them with the other control machines and sends them to the agents.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"lemonrail/internal/configuration/server"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

var errUsage = errors.New("usage: lemoncontrol FILE, such as deploy/control.toml")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stderr))
}

// run runs the control machine until ctx ends and returns the exit code: 0 after a normal stop, exitFailed (1) after
// a failure, exitUsage (2) for an invalid command line or settings file.
func run(ctx context.Context, args []string, log io.Writer) int {
	if len(args) != 1 {
		fmt.Fprintln(log, errUsage)
		return exitUsage
	}
	settings, err := server.ReadSettings(args[0])
	if err != nil {
		fmt.Fprintln(log, "lemoncontrol:", err)
		return exitUsage
	}
	if err := server.Run(ctx, settings, slog.New(slog.NewTextHandler(log, nil))); err != nil {
		fmt.Fprintln(log, "lemoncontrol:", err)
		return exitFailed
	}
	return 0
}
