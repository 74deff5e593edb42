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

	"lemonrail/internal/duty/quorum"
)

// dutiesShowCmd prints the holders of the duties and the state of the voters.
type dutiesShowCmd struct {
	Agents []string `arg:"" name:"agents" help:"Control addresses of agents, HOST:PORT."`
	JSON   bool     `name:"json" help:"Print one JSON object."`
}

// dutiesSnapshot holds the reports of all agents on the duties.
type dutiesSnapshot struct {
	At     time.Time                 `json:"at"`
	Agents map[string]*quorum.Report `json:"agents"`           // by control address
	Silent map[string]string         `json:"silent,omitempty"` // errors of failed calls, by control address
}

func fetchDuties(ctx context.Context, agents []string) *dutiesSnapshot {
	l := &dutiesSnapshot{At: time.Now()}
	l.Agents, l.Silent = fetchAll[quorum.Report](ctx, agents, "/api/duties", "it holds no duties (started without -duties)")
	return l
}

// Run prints the reports and returns an error if no agent answered.
func (c *dutiesShowCmd) Run(ctx context.Context, s streams) error {
	l := fetchDuties(ctx, c.Agents)
	if c.JSON {
		if err := printJSON(s.out, l); err != nil {
			return err
		}
	} else if err := l.printText(s.out); err != nil {
		return err
	}
	if len(l.Agents) == 0 {
		return errors.New("no agent answered")
	}
	return nil
}

func (l *dutiesSnapshot) printText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Agents may not know the latest state of a duty. So of each duty the row with the highest epoch (number
	// of a holding, which rises with each) is shown, and within an epoch the one with the most acts (number
	// of times that the duty's state was saved).
	latest, agentStages := map[string]quorum.Row{}, map[string][]string{}
	for _, address := range slices.Sorted(maps.Keys(l.Agents)) {
		for _, row := range l.Agents[address].Duties {
			if previous, known := latest[row.Duty]; !known || row.Epoch > previous.Epoch || row.Epoch == previous.Epoch && row.Acts > previous.Acts {
				latest[row.Duty] = row
			}
			if row.Mine != "idle" {
				agentStages[row.Duty] = append(agentStages[row.Duty], fmt.Sprintf("%s %s", l.Agents[address].Agent, row.Mine))
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
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f s\t%s\t%s\t%s\n", name, holder, row.Epoch, row.Acts, float64(row.LeaseMs)/1000, next, strings.Join(agentStages[name], ", "), state)
	}
	fmt.Fprintln(t, "\nseat\tvotes\tleads\tbegan by\twhy\tidentity\tbytes written\tgarbled frames")
	for _, address := range slices.Sorted(maps.Keys(l.Agents)) {
		if voter := l.Agents[address].Seat; voter != nil {
			fmt.Fprintf(t, "%s\t%v\t%v\t%s\t%s\t%s\t%d\t%d\n", voter.Name, voter.Votes, voter.Leads, voter.Start, voter.Why, voter.Identity, voter.Written, voter.Garbled)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, address := range slices.Sorted(maps.Keys(l.Silent)) {
		if _, err := fmt.Fprintf(w, "%s: %s\n", address, l.Silent[address]); err != nil {
			return err
		}
	}
	return nil
}

// dutiesHandOnCmd names the agent that takes a duty over.
type dutiesHandOnCmd struct {
	Agent string `arg:"" help:"Any agent's control address, HOST:PORT."`
	Duty  string `arg:""`
	To    string `arg:"" help:"Name of the agent that takes the duty over."`
}

// Run sends the request to the given agent, which need not be the holder.
func (c *dutiesHandOnCmd) Run(ctx context.Context, s streams) error {
	return putAgent(ctx, s, c.Agent, "/api/duties/"+c.Duty+"/hand-on/"+c.To)
}

// dutiesReleaseCmd makes the holder of a duty release it.
type dutiesReleaseCmd struct {
	Duty   string   `arg:""`
	Agents []string `arg:"" name:"agents" help:"Control addresses of agents, HOST:PORT; the holder of the duty must be one of them."`
}

// Run finds the holder among the agents and sends the request to it.
func (c *dutiesReleaseCmd) Run(ctx context.Context, s streams) error {
	l := fetchDuties(ctx, c.Agents)
	for address, r := range l.Agents {
		for _, row := range r.Duties {
			if row.Duty == c.Duty && row.Mine == "holding" {
				return putAgent(ctx, s, address, "/api/duties/"+c.Duty+"/release")
			}
		}
	}
	return fmt.Errorf("none of these agents holds %s", c.Duty)
}

// putAgent sends a PUT without a body to a path at an agent's control address and prints the answer. A status
// other than 2xx is an error.
func putAgent(ctx context.Context, s streams, address, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
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

// printFleetNotes prints the fleet notes, which are the state of the duty "notes" as its holder has recorded
// it, in the newest version that any of the agents has.
func printFleetNotes(ctx context.Context, s streams, agents []string) error {
	l := fetchDuties(ctx, agents)
	var best *quorum.Row
	for _, address := range slices.Sorted(maps.Keys(l.Agents)) {
		for i := range l.Agents[address].Duties {
			row := &l.Agents[address].Duties[i]
			if row.Duty == quorum.NotesDuty && (best == nil || row.Epoch > best.Epoch || row.Epoch == best.Epoch && row.Acts > best.Acts) {
				best = row
			}
		}
	}
	switch {
	case len(l.Agents) == 0:
		return errors.New("no agent answered")
	case best == nil || best.State == "":
		return errors.New("no notes have been recorded yet")
	}
	var notes any
	if err := json.Unmarshal([]byte(best.State), &notes); err != nil {
		return fmt.Errorf("decoding the notes: %w", err)
	}
	return printJSON(s.out, map[string]any{"holder": best.Holder, "epoch": best.Epoch, "notes": notes})
}
