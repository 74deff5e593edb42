package exercise

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/internal/diameter"
	"lemonrail/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func defaultConfig(target string) Config {
	return Config{Target: target, Identity: "client%d.example.net", Realm: "example.net", Application: diameter.AppCreditControl,
		Command: diameter.CreditControl, Type: 4, Action: 2, Clients: 3, RequestsPerClient: 20, MaxPending: 4, AnswerTimeout: 20 * time.Second}
}

func node(t *testing.T, handle func(c *standin.DiameterConn, m *diameter.Message)) *standin.DiameterNode {
	t.Helper()
	n, err := standin.NewDiameterNode("s0.example.net", handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n
}

// Each kind of answer is counted in its own field of the report.
func TestReportCounts(t *testing.T) {
	var n atomic.Int64
	s := node(t, func(c *standin.DiameterConn, m *diameter.Message) {
		switch n.Add(1) {
		case 1:
			c.Answer(m, diameter.Success)
			c.Answer(m, diameter.Success) // a duplicate
		case 2:
			m.EndToEnd = 1 << 30 // an unknown request
			c.Answer(m, diameter.Success)
		case 3:
			c.Answer(m, diameter.TooBusy)
		default:
			c.Answer(m, diameter.Success, diameter.Group(diameter.CodeOCOLR))
		}
	})
	cfg := defaultConfig(s.Addr())
	cfg.Clients, cfg.MaxPending, cfg.AnswerTimeout = 1, 1, 2*time.Second // one request is never answered
	r, err := Run(context.Background(), cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	if r.Requests != 20 || r.Answered != 19 || r.Unanswered != 1 || r.Duplicates != 1 || r.Unsolicited != 1 || r.OverloadReports != 17 ||
		r.Results[diameter.Success] != 18 || r.Results[diameter.TooBusy] != 1 {
		t.Errorf("%+v", r)
	}
}

// A request without an answer is resent with the T flag and the same identifiers.
func TestResends(t *testing.T) {
	first := make(chan uint32, 100)
	s := node(t, func(c *standin.DiameterConn, m *diameter.Message) {
		if m.Flags&diameter.FlagRetransmitted == 0 {
			first <- m.EndToEnd
			return
		}
		c.Answer(m, diameter.Success)
	})
	cfg := defaultConfig(s.Addr())
	cfg.RequestsPerClient, cfg.AnswerTimeout, cfg.MaxResends = 2, 50*time.Millisecond, 1000
	r, err := Run(context.Background(), cfg, nil)
	if err != nil || r.Answered != 6 || r.Resent < 6 || r.Unanswered != 0 || len(first) != 6 {
		t.Errorf("%+v, %v; %d requests without the T flag", r, err, len(first))
	}
}

func TestManyClients(t *testing.T) {
	s := node(t, func(c *standin.DiameterConn, m *diameter.Message) { c.Answer(m, diameter.Success) })
	cfg := defaultConfig(s.Addr())
	cfg.Clients = 50
	r, err := Run(context.Background(), cfg, nil)
	if err != nil || r.Answered != 1000 || r.Duplicates+r.Unsolicited+r.Unanswered != 0 {
		t.Errorf("%+v, %v", r, err)
	}
}

// Run reports a connection that ends with unanswered requests, and returns an error for an invalid configuration or a failed
// connection attempt.
func TestServerEnds(t *testing.T) {
	s := node(t, func(c *standin.DiameterConn, m *diameter.Message) { c.Close() })
	cfg := defaultConfig(s.Addr())
	if r, err := Run(context.Background(), cfg, nil); err != nil || r.Unanswered != r.Requests || r.Requests != 60 {
		t.Errorf("%+v, %v", r, err)
	}
	cfg.MaxPending = 0
	if _, err := Run(context.Background(), cfg, nil); err == nil || !strings.Contains(err.Error(), "out") {
		t.Errorf("%v", err)
	}
	s.Stop()
	cfg.MaxPending = 1
	if _, err := Run(context.Background(), cfg, nil); err == nil || !strings.Contains(err.Error(), "client 1") {
		t.Errorf("%v", err)
	}
}
