// Command lemonrail balances and retries the requests of the application beside it. It is
// configured by the JSON file that LB_CONFIG names.
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
	"lemonrail/internal/duty/seat"
	"lemonrail/internal/explain"
	"lemonrail/internal/member/link"
)

func main() {
	hup := hangups()
	var f files
	flag.StringVar(&f.explained, "explain", "", "TOML `file` that says where reasons of refusals are written, such as deploy/explain.toml")
	flag.StringVar(&f.diameter, "diameter", "", "TOML `file` by which the agent speaks Diameter too, such as deploy/diameter.toml")
	flag.StringVar(&f.servers, "servers", "", "TOML `file` that lists the backends in place of discovery, such as deploy/servers.toml")
	flag.StringVar(&f.members, "members", "", "TOML `file` by which the agent keeps a view of the fleet, such as deploy/members.toml")
	flag.StringVar(&f.sites, "sites", "", "TOML `file` by which the agent watches whole sites, such as deploy/sites.toml")
	flag.StringVar(&f.duties, "duties", "", "TOML `file` by which the agent holds duties that one agent may hold at a time, such as deploy/duties.toml")
	flag.StringVar(&f.configuration, "configuration", "", "TOML `file` by which the agent takes settings that change while it runs, such as deploy/configuration.toml")
	flag.Parse()
	if err := run(hup, os.Stderr, f); err != nil {
		fmt.Fprintln(os.Stderr, "lemonrail:", err)
		os.Exit(1)
	}
}

// files set what is off by default; empty: off.
type files struct{ explained, diameter, servers, members, sites, duties, configuration string }

// hangups catches SIGHUP, which would end the program otherwise.
func hangups() <-chan os.Signal {
	hup := make(chan os.Signal, 1) // one that waits says as much as several
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

func run(hup <-chan os.Signal, log io.Writer, f files) error {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return errors.New("LB_CONFIG is not set")
	}
	read := agent.ReadConfig
	if f.servers != "" {
		read = func(path string) (*agent.Config, error) { return agent.ReadListedConfig(path, f.servers) }
	}
	cfg, err := read(path)
	if err != nil {
		return err
	}
	if control := os.Getenv("LB_CONTROL"); control != "" { // new with each process, so before the file
		if cfg.Control, err = netip.ParseAddrPort(control); err != nil {
			return fmt.Errorf("LB_CONTROL: %w", err)
		}
	}
	if fd := os.Getenv("LB_FD"); fd != "" { // the platform holds the clients' listener and may start a successor
		if cfg.ListenFD, err = strconv.Atoi(fd); err != nil || cfg.ListenFD < 3 {
			return fmt.Errorf("LB_FD: %q is no descriptor of a listener", fd)
		}
		cfg.SharedDir = os.TempDir()
	}
	if f.explained != "" {
		if cfg.Explain, err = explain.ReadConfig(f.explained); err != nil {
			return err
		}
	}
	if f.diameter != "" {
		rules, err := relay.ReadRules(f.diameter)
		if err != nil {
			return err
		}
		if err := cfg.WithDiameter(rules); err != nil {
			return err
		}
	}
	if f.members != "" {
		members, err := link.ReadSettings(f.members)
		if err != nil {
			return err
		}
		if err := cfg.WithMembers(members); err != nil {
			return err
		}
	}
	if f.sites != "" {
		raw, err := os.ReadFile(f.sites)
		if err != nil {
			return fmt.Errorf("sites: %w", err)
		}
		if err := cfg.WithSites(f.sites, raw); err != nil {
			return err
		}
	}
	if f.duties != "" {
		s, err := seat.ReadSettings(f.duties)
		if err != nil {
			return err
		}
		if err := cfg.WithDuties(s); err != nil {
			return err
		}
	}
	if f.configuration != "" { // behind those that settings have to suit
		raw, err := os.ReadFile(f.configuration)
		if err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		if err := cfg.WithConfiguration(f.configuration, raw); err != nil {
			return err
		}
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(agent.CollectAt(cfg.MemoryMB << 20))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return agent.Run(ctx, cfg, hup, slog.New(slog.NewTextHandler(log, nil)))
}
