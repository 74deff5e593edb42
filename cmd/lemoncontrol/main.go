// Command lemoncontrol is a control machine's process: it keeps the settings that change while the fleet runs, agrees on
// them with the other control machines, and brings them to the agents.
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

// run is the process: 0 ended as asked, 1 failed, 2 not understood.
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
