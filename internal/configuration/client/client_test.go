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

// stubReply is how a stub machine handles a change: with a refusal, by dropping the connection, or, if
// neither is set, by accepting it.
type stubReply struct {
	refusal *configuration.ErrorBody // nil: none
	drop    bool                     // the machine closes the connection without an answer
}

var (
	accepts  = stubReply{}
	drops    = stubReply{drop: true}
	unknown  = stubReply{refusal: &configuration.ErrorBody{Kind: configuration.ErrorUnknown}}
	noQuorum = stubReply{refusal: &configuration.ErrorBody{Kind: configuration.ErrorNoQuorum}}
	notHere  = stubReply{refusal: &configuration.ErrorBody{Kind: configuration.ErrorNotHere}}
	conflict = stubReply{refusal: &configuration.ErrorBody{Kind: configuration.ErrorConflict}}
)

// stubMachines records the changes sent to several stub machines. Each machine gives its replies in order and
// then repeats the last one; a machine without replies refuses connections.
type stubMachines struct {
	mu    sync.Mutex
	calls []string // IDs of the changes received by all machines, in order of arrival
}

// machine starts a stub machine and returns its address.
func (s *stubMachines) machine(t *testing.T, replies ...stubReply) (address string) {
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

func TestPutResolvesOutcomes(t *testing.T) {
	for _, tt := range []struct {
		name     string
		machines [][]stubReply           // replies of each machine, in the order in which the client tries the machines
		kind     configuration.ErrorKind // kind of the error that Put returns; empty: accepted
		calls    int                     // number of changes that reach a machine
	}{
		{"accepted", [][]stubReply{{accepts}}, "", 1},
		{"accepted by the second", [][]stubReply{{notHere}, {accepts}}, "", 2},
		{"the first refuses connections", [][]stubReply{{}, {accepts}}, "", 1},
		{"no majority", [][]stubReply{{}, {noQuorum}, {noQuorum}}, configuration.ErrorNoQuorum, 2},
		{"a conflict", [][]stubReply{{conflict}, {accepts}}, configuration.ErrorConflict, 1},
		{"unknown, then accepted", [][]stubReply{{unknown, accepts}}, "", 2},
		{"dropped, then accepted", [][]stubReply{{drops, accepts}}, "", 2},
		{"dropped, no majority elsewhere, then accepted", [][]stubReply{{drops, accepts}, {noQuorum}}, "", 3},
		{"unknown, then a conflict", [][]stubReply{{unknown}, {conflict}}, configuration.ErrorConflict, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s stubMachines
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
					t.Errorf("the attempts have the IDs %q", s.calls)
				}
			}
		})
	}
}

func TestPutWithUnresolvedOutcomeIsUnknown(t *testing.T) {
	var s stubMachines
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first := s.machine(t, drops, noQuorum)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.calls) > 1 { // the first machine was tried a second time
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

func TestNewRejectsInvalidAddresses(t *testing.T) {
	for _, machines := range [][]string{nil, {"nowhere"}, {"127.0.0.1:1", ""}} {
		if _, err := New(machines...); err == nil {
			t.Errorf("%q is accepted", machines)
		}
	}
}
