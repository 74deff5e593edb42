package client

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"lemonrail/internal/configuration"
)

// reply is what a stub machine does with a call: it answers a refusal, accepts, or drops the connection unanswered.
type reply struct {
	refusal *configuration.ErrorBody
	drop    bool
}

var (
	accepts  = reply{}
	drops    = reply{drop: true}
	unknown  = reply{refusal: &configuration.ErrorBody{Kind: configuration.ErrorUnknown}}
	noQuorum = reply{refusal: &configuration.ErrorBody{Kind: configuration.ErrorNoQuorum}}
	notHere  = reply{refusal: &configuration.ErrorBody{Kind: configuration.ErrorNotHere}}
	conflict = reply{refusal: &configuration.ErrorBody{Kind: configuration.ErrorConflict}}
)

// stubs are machines with replies in order; the last one is given again and again. A machine without any refuses to
// be connected to.
type stubs struct {
	mu    sync.Mutex
	calls []string // identities of the changes, in the order in which they came
}

func (s *stubs) machine(t *testing.T, replies ...reply) (address string) {
	t.Helper()
	if len(replies) == 0 {
		return closedAddress(t)
	}
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var change configuration.Change
		json.NewDecoder(r.Body).Decode(&change)
		s.mu.Lock()
		s.calls = append(s.calls, change.ID)
		next := replies[0]
		if len(replies) > 1 {
			replies = replies[1:]
		}
		s.mu.Unlock()
		switch {
		case next.drop:
			panic(http.ErrAbortHandler)
		case next.refusal != nil:
			w.WriteHeader(http.StatusServiceUnavailable)
			json.NewEncoder(w).Encode(next.refusal)
		default:
			json.NewEncoder(w).Encode(configuration.Accepted{Position: configuration.Position{Revision: 1}})
		}
	}))
	t.Cleanup(web.Close)
	return strings.TrimPrefix(web.URL, "http://")
}

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestPutSettlesOutcomes(t *testing.T) {
	for _, tt := range []struct {
		name     string
		machines [][]reply
		kind     configuration.ErrorKind // empty: accepted
		calls    int
	}{
		{"accepted", [][]reply{{accepts}}, "", 1},
		{"accepted by the second", [][]reply{{notHere}, {accepts}}, "", 2},
		{"the first refuses to be connected to", [][]reply{{}, {accepts}}, "", 1},
		{"no majority", [][]reply{{}, {noQuorum}, {noQuorum}}, configuration.ErrorNoQuorum, 2},
		{"a conflict", [][]reply{{conflict}, {accepts}}, configuration.ErrorConflict, 1},
		{"unknown, then accepted", [][]reply{{unknown, accepts}}, "", 2},
		{"dropped, then accepted", [][]reply{{drops, accepts}}, "", 2},
		{"dropped, no majority elsewhere, then accepted", [][]reply{{drops, accepts}, {noQuorum}}, "", 3},
		{"unknown, then a conflict", [][]reply{{unknown}, {conflict}}, configuration.ErrorConflict, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s stubs
			var addresses []string
			for _, replies := range tt.machines {
				addresses = append(addresses, s.machine(t, replies...))
			}
			c, err := New(addresses...)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			accepted, err := c.Put(t.Context(), configuration.Change{})
			var body *configuration.ErrorBody
			switch {
			case tt.kind == "" && (err != nil || accepted.Revision != 1):
				t.Errorf("got %+v, %v", accepted, err)
			case tt.kind != "" && (!errors.As(err, &body) || body.Kind != tt.kind):
				t.Errorf("got %v, want %s", err, tt.kind)
			}
			if len(s.calls) != tt.calls {
				t.Errorf("%d calls, want %d", len(s.calls), tt.calls)
			}
			for _, id := range s.calls {
				if id == "" || id != s.calls[0] {
					t.Errorf("the tries have the identities %q", s.calls)
				}
			}
		})
	}
}

func TestPutThatIsNeverSettledIsUnknown(t *testing.T) {
	var s stubs
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first := s.machine(t, drops, noQuorum)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.calls) > 1 { // the first machine was asked again
			cancel()
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(noQuorum.refusal)
	}))
	defer web.Close()
	c, err := New(first, strings.TrimPrefix(web.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = c.Put(ctx, configuration.Change{})
	var body *configuration.ErrorBody
	if !errors.As(err, &body) || body.Kind != configuration.ErrorUnknown {
		t.Errorf("got %v, want unknown", err)
	}
}

func TestMachinesHaveToBeAddresses(t *testing.T) {
	for _, machines := range [][]string{nil, {"nowhere"}, {"127.0.0.1:1", ""}} {
		if _, err := New(machines...); err == nil {
			t.Errorf("%q is taken", machines)
		}
	}
}
