package agent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/member"
	"lemonrail/internal/member/link"
)

// WithMembers has the agent take part in the fleet's membership, by the settings of a file.
func (c *Config) WithMembers(s *link.Settings) error {
	if len(s.List()) == 0 && (!c.Settings.Peers || !c.PeerListen.IsValid() || len(c.Peers) == 0) {
		return errors.New("members: the platform gives no peers (peer_listen, peers), and the file lists none")
	}
	c.members = s
	return nil
}

// newMembers creates this agent's membership, whose datagrams go over the socket of p. It returns nil if no file on members is
// given or p is nil.
func newMembers(cfg *Config, p *peers, l *core.Loop, log *slog.Logger) (*link.Link, error) {
	if cfg.members == nil || p == nil {
		return nil, nil
	}
	zone := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(cfg.Names.Zones) {
		zone = cfg.Names.Zones[z]
	}
	self := member.NoID
	if cfg.Settings.Self < len(cfg.Peers) {
		self = member.ID(cfg.Settings.Self)
	}
	m, err := link.New(link.Options{Settings: cfg.members, Name: cfg.Name, Zone: zone, Self: self, Peers: cfg.Peers, Seed: cfg.Seed,
		Send: p.send, Log: log,
		OnCount: func(c member.AgentCount) {
			e := balance.Fleet{Alive: c.Living, MaxAlive: c.Possible}
			for _, id := range c.Away {
				e.Departed = append(e.Departed, int(id))
			}
			l.Post(func() { l.Event(e) })
		}})
	if err != nil {
		return nil, err
	}
	p.attachMembers(m)
	return m, nil
}

// membersPart runs the membership. It comes after the peers' part in the list, since the message by which the agent leaves
// the fleet at its end is sent over that part's socket.
func membersPart(m *link.Link) *part {
	if m == nil {
		return &part{name: "members"}
	}
	return &part{name: "members",
		start:  func(t *tasks) { t.Go(func(ctx context.Context) error { return m.Run(ctx) }) },
		finish: func(timeout time.Duration) { m.Leave(timeout) },
		routes: m.Routes(), gauges: m.Gauges()}
}
