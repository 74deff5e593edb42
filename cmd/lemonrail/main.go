// Command lemonrail is the agent: it balances and retries the requests of the application beside it. It is configured
// by the JSON file that LB_CONFIG names; the flags name files for further features.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"lemonrail/internal/agent"
	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/duty/quorum"
	"lemonrail/internal/explain"
	"lemonrail/internal/member/link"
)

func main() {
	hup := notifyHangup()
	var paths optionalFiles
	flag.StringVar(&paths.explain, "explain", "", "TOML `file` that sets where the reasons of refusals are written, such as deploy/explain.toml")
	flag.StringVar(&paths.diameter, "diameter", "", "TOML `file` that enables Diameter beside HTTP, such as deploy/diameter.toml")
	flag.StringVar(&paths.servers, "servers", "", "TOML `file` that lists the backends in place of discovery, such as deploy/servers.toml")
	flag.StringVar(&paths.members, "members", "", "TOML `file` that enables the agent's view of the fleet's members, such as deploy/members.toml")
	flag.StringVar(&paths.sites, "sites", "", "TOML `file` that enables the detection of lost sites, such as deploy/sites.toml")
	flag.StringVar(&paths.duties, "duties", "", "TOML `file` that enables duties, each held by one agent at a time, such as deploy/duties.toml")
	flag.StringVar(&paths.configuration, "configuration", "", "TOML `file` that enables settings that change while the agent runs, such as deploy/configuration.toml")
	flag.Parse()
	if err := run(hup, os.Stderr, paths); err != nil {
		fmt.Fprintln(os.Stderr, "lemonrail:", err)
		os.Exit(1)
	}
}

// optionalFiles holds the paths of the files that enable optional features. A feature without a path is off.
type optionalFiles struct{ explain, diameter, servers, members, sites, duties, configuration string }

// notifyHangup returns a channel that receives SIGHUP, which would end the program otherwise.
func notifyHangup() <-chan os.Signal {
	hup := make(chan os.Signal, 1) // one pending signal has the same effect as several
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

func run(hup <-chan os.Signal, log io.Writer, paths optionalFiles) error {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return errors.New("LB_CONFIG is not set")
	}
	read := agent.ReadConfig
	if paths.servers != "" {
		read = func(path string) (*agent.Config, error) { return agent.ReadConfigWithServers(path, paths.servers) }
	}
	cfg, err := read(path)
	if err != nil {
		return err
	}
	if control := os.Getenv("LB_CONTROL"); control != "" { // overrides the file, since each process has an address of its own
		if cfg.Control, err = netip.ParseAddrPort(control); err != nil {
			return fmt.Errorf("LB_CONTROL: %w", err)
		}
	}
	if fd := os.Getenv("LB_FD"); fd != "" { // the platform owns the clients' listener and may start a successor process on it
		if cfg.ListenFD, err = strconv.Atoi(fd); err != nil || cfg.ListenFD < 3 {
			return fmt.Errorf("LB_FD: %q is not the descriptor of a listener: want a number from 3 up", fd)
		}
		cfg.SharedDir = os.TempDir()
	}
	if paths.explain != "" {
		if cfg.Explain, err = explain.ReadConfig(paths.explain); err != nil {
			return err
		}
	}
	if paths.diameter != "" {
		rules, err := relay.ReadRules(paths.diameter)
		if err != nil {
			return err
		}
		if err := cfg.WithDiameter(rules); err != nil {
			return err
		}
	}
	if paths.members != "" {
		members, err := link.ReadSettings(paths.members)
		if err != nil {
			return err
		}
		if err := cfg.WithMembers(members); err != nil {
			return err
		}
	}
	if paths.sites != "" {
		raw, err := os.ReadFile(paths.sites)
		if err != nil {
			return fmt.Errorf("sites: %w", err)
		}
		if err := cfg.WithSites(paths.sites, raw); err != nil {
			return err
		}
	}
	if paths.duties != "" {
		s, err := quorum.ReadSettings(paths.duties)
		if err != nil {
			return err
		}
		if err := cfg.WithDuties(s); err != nil {
			return err
		}
	}
	if paths.configuration != "" { // after the other files, since the settings have to be compatible with them
		raw, err := os.ReadFile(paths.configuration)
		if err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		if err := cfg.WithConfiguration(paths.configuration, raw); err != nil {
			return err
		}
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(agent.SoftMemoryLimit(cfg.MemoryMB << 20))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return agent.Run(ctx, cfg, hup, slog.New(slog.NewTextHandler(log, nil)))
}
