package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lemonrail/internal/duty/seat"
)

type dutiesShowCmd struct {
	Agents []string `arg:"" name:"agents" help:"Control addresses of agents, HOST:PORT."`
	JSON   bool     `name:"json" help:"Print one JSON object."`
}

// dutiesLook is what all agents said.
type dutiesLook struct {
	At     time.Time               `json:"at"`
	Agents map[string]*seat.Report `json:"agents"` // by control address
	Silent map[string]string       `json:"silent,omitempty"`
}

func lookAtDuties(ctx context.Context, agents []string) *dutiesLook {
	l := &dutiesLook{At: time.Now()}
	l.Agents, l.Silent = askAll[seat.Report](ctx, agents, "/api/duties", "it holds no duties (started without -duties)")
	return l
}

func (c *dutiesShowCmd) Run(ctx context.Context, s streams) error {
	l := lookAtDuties(ctx, c.Agents)
	if c.JSON {
		if err := printJSON(s.out, l); err != nil {
			return err
		}
	} else if err := l.text(s.out); err != nil {
		return err
	}
	if len(l.Agents) == 0 {
		return errors.New("no agent answered")
	}
	return nil
}

func (l *dutiesLook) text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// What most agents hold: who knows the highest epoch knows best.
	latest, claims := map[string]seat.Row{}, map[string][]string{}
	for _, d := range slices.Sorted(maps.Keys(l.Agents)) {
		for _, row := range l.Agents[d].Duties {
			if was, known := latest[row.Duty]; !known || row.Epoch > was.Epoch || row.Epoch == was.Epoch && row.Acts > was.Acts {
				latest[row.Duty] = row
			}
			if row.Mine != "idle" {
				claims[row.Duty] = append(claims[row.Duty], fmt.Sprintf("%s %s", l.Agents[d].Agent, row.Mine))
			}
		}
	}
	fmt.Fprintln(t, "duty\tholder\tepoch\tacts\tlease\tnext\tagents that say so\tstate")
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		row := latest[name]
		holder, next := row.Holder, row.Next
		if holder == "" {
			holder = "nobody"
		}
		if row.Ready {
			next += " (ready)"
		}
		state := row.State
		if len(state) > 60 {
			state = state[:60] + "..."
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f s\t%s\t%s\t%s\n", name, holder, row.Epoch, row.Acts, float64(row.LeaseMs)/1000, next, strings.Join(claims[name], ", "), state)
	}
	fmt.Fprintln(t, "\nseat\tvotes\tleads\tbegan by\twhy\tidentity\tbytes written\tgarbled frames")
	for _, d := range slices.Sorted(maps.Keys(l.Agents)) {
		if x := l.Agents[d].Seat; x != nil {
			fmt.Fprintf(t, "%s\t%v\t%v\t%s\t%s\t%s\t%d\t%d\n", x.Name, x.Votes, x.Leads, x.Start, x.Why, x.Identity, x.Written, x.Garbled)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, d := range slices.Sorted(maps.Keys(l.Silent)) {
		if _, err := fmt.Fprintf(w, "%s: %s\n", d, l.Silent[d]); err != nil {
			return err
		}
	}
	return nil
}

type dutiesHandOnCmd struct {
	Agent string `arg:"" help:"Any agent's control address, HOST:PORT."`
	Duty  string `arg:""`
	To    string `arg:"" help:"Agent that is to take it over."`
}

func (c *dutiesHandOnCmd) Run(ctx context.Context, s streams) error {
	return putAgent(ctx, s, c.Agent, "/api/duties/"+c.Duty+"/hand-on/"+c.To)
}

type dutiesReleaseCmd struct {
	Duty   string   `arg:""`
	Agents []string `arg:"" name:"agents" help:"Control addresses of agents, HOST:PORT, among which is its holder's."`
}

func (c *dutiesReleaseCmd) Run(ctx context.Context, s streams) error {
	l := lookAtDuties(ctx, c.Agents)
	for d, r := range l.Agents {
		for _, row := range r.Duties {
			if row.Duty == c.Duty && row.Mine == "holding" {
				return putAgent(ctx, s, d, "/api/duties/"+c.Duty+"/release")
			}
		}
	}
	return fmt.Errorf("none of these agents holds %s", c.Duty)
}

// putAgent makes a call that changes something.
func putAgent(ctx context.Context, s streams, address, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: askLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s: %s", address, resp.Status, strings.TrimSpace(string(body)))
	}
	_, err = s.out.Write(body)
	return err
}

// keeperNotes prints what the holder of the duty notes has written down.
func keeperNotes(ctx context.Context, s streams, agents []string) error {
	l := lookAtDuties(ctx, agents)
	var best *seat.Row
	for _, d := range slices.Sorted(maps.Keys(l.Agents)) {
		for i := range l.Agents[d].Duties {
			row := &l.Agents[d].Duties[i]
			if row.Duty == seat.NotesDuty && (best == nil || row.Epoch > best.Epoch || row.Epoch == best.Epoch && row.Acts > best.Acts) {
				best = row
			}
		}
	}
	switch {
	case len(l.Agents) == 0:
		return errors.New("no agent answered")
	case best == nil || best.State == "":
		return errors.New("nobody has kept notes yet")
	}
	var notes any
	if err := json.Unmarshal([]byte(best.State), &notes); err != nil {
		return fmt.Errorf("the notes can't be read: %w", err)
	}
	return printJSON(s.out, map[string]any{"holder": best.Holder, "epoch": best.Epoch, "notes": notes})
}
