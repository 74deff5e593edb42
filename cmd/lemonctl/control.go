package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// fetchAll gets path from the control addresses of all agents concurrently. It returns the decoded answers
// and the error texts of failed calls, both by control address. notFoundText is the error text for an agent
// that answers 404, because it runs without the feature.
func fetchAll[T any](ctx context.Context, agents []string, path, notFoundText string) (answers map[string]*T, failures map[string]string) {
	answers, failures = map[string]*T{}, map[string]string{}
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var mu sync.Mutex
	var workers sync.WaitGroup
	for _, address := range agents {
		workers.Go(func() {
			answer := new(T)
			err := fetchAgent(ctx, client, address, path, notFoundText, answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures[address] = err.Error()
			} else {
				answers[address] = answer
			}
		})
	}
	workers.Wait()
	return answers, failures
}

const maxSnapshots = 3600 // that a poller keeps for the HTML page; the earliest are dropped

// watchFlags are the flags of commands that poll agents.
type watchFlags struct {
	Agents []string      `arg:"" name:"agents" help:"Control addresses of agents, HOST:PORT."`
	Watch  time.Duration `placeholder:"TIME" help:"Poll the agents at this interval."`
	For    time.Duration `placeholder:"TIME" help:"Stop after this time."`
	JSON   bool          `name:"json" help:"Print JSON, one object for each poll."`
	HTML   string        `name:"html" placeholder:"FILE" help:"Write all snapshots as one HTML page at the end."`
}

// poller polls agents on behalf of a command. T is the snapshot of one poll.
type poller[T any] struct {
	fetch     func(ctx context.Context, agents []string) T
	printText func(T) error                          // prints a snapshot as text; run replaces it for --json
	writePage func(w io.Writer, snapshots []T) error // writes all snapshots as an HTML page
	noAnswers func(T) bool                           // reports whether no agent answered
}

// run polls the agents, prints each snapshot and writes the HTML page if requested. It returns an error if no agent
// answered the last poll.
func (c poller[T]) run(ctx context.Context, flags *watchFlags, s streams) error {
	if flags.JSON {
		c.printText = func(snapshot T) error { return json.NewEncoder(s.out).Encode(snapshot) }
	}
	snapshots, err := c.poll(ctx, flags)
	if err != nil {
		return err
	}
	if flags.HTML != "" {
		if err := writeFile(flags.HTML, func(w io.Writer) error { return c.writePage(w, snapshots) }); err != nil {
			return err
		}
	}
	if c.noAnswers(snapshots[len(snapshots)-1]) {
		return errors.New("no agent answered")
	}
	return nil
}

// poll fetches and prints snapshots at intervals of flags.Watch (0: once), until flags.For has passed (0: no limit)
// or ctx is done. It returns the last maxSnapshots snapshots.
func (c poller[T]) poll(ctx context.Context, flags *watchFlags) (snapshots []T, err error) {
	if flags.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, flags.For)
		defer cancel()
	}
	for {
		snapshot := c.fetch(ctx, flags.Agents)
		if ctx.Err() != nil && len(snapshots) > 0 {
			return snapshots, nil
		}
		if snapshots = append(snapshots, snapshot); len(snapshots) > maxSnapshots {
			snapshots = slices.Delete(snapshots, 0, 1)
		}
		if err := c.printText(snapshot); err != nil || flags.Watch <= 0 {
			return snapshots, err
		}
		select {
		case <-time.After(flags.Watch):
		case <-ctx.Done():
			return snapshots, nil
		}
	}
}

// fetchAgent gets path from an agent's control address and decodes the JSON answer into into. notFoundText is the
// error of a 404 answer, which an agent sends that runs without the feature.
func fetchAgent(ctx context.Context, client *http.Client, address, path, notFoundText string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusNotFound:
		return errors.New(notFoundText)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("what it says can't be read: %w", err)
	}
	return nil
}
