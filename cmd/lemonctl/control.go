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

// askAll asks many agents at a time for something that is told as JSON: what each told, and why others didn't. without
// says what an agent lacks that has no such call.
func askAll[T any](ctx context.Context, agents []string, path, without string) (told map[string]*T, silent map[string]string) {
	told, silent = map[string]*T{}, map[string]string{}
	client := &http.Client{Timeout: askLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, d := range agents {
		all.Go(func() {
			r := new(T)
			err := askAgent(ctx, client, d, path, without, r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent[d] = err.Error()
			} else {
				told[d] = r
			}
		})
	}
	all.Wait()
	return told, silent
}

const looksMost = 3600 // that are kept; the earliest go

// watchFlags are those of a command that asks agents again and again.
type watchFlags struct {
	Agents []string      `arg:"" name:"agents" help:"Control addresses of agents, HOST:PORT."`
	Watch  time.Duration `placeholder:"TIME" help:"Ask again each TIME."`
	For    time.Duration `placeholder:"TIME" help:"End after so long."`
	JSON   bool          `name:"json" help:"Print JSON: one object each time."`
	HTML   string        `name:"html" placeholder:"FILE" help:"Write what was seen over time as one page, at the end."`
}

// watched is what a command does with what agents answered each time.
type watched[T any] struct {
	ask   func(ctx context.Context, agents []string) T
	show  func(T) error                    // as text
	page  func(w io.Writer, all []T) error // as HTML, at the end
	empty func(T) bool                     // nobody answered
}

// run asks, shows, writes the page where one is wanted, and fails where nobody answered the last time.
func (c watched[T]) run(ctx context.Context, f *watchFlags, s streams) error {
	if f.JSON {
		c.show = func(seen T) error { return json.NewEncoder(s.out).Encode(seen) }
	}
	all, err := c.repeat(ctx, f)
	if err != nil {
		return err
	}
	if f.HTML != "" {
		if err := writeFile(f.HTML, func(w io.Writer) error { return c.page(w, all) }); err != nil {
			return err
		}
	}
	if c.empty(all[len(all)-1]) {
		return errors.New("no agent answered")
	}
	return nil
}

// repeat asks and shows, again each Watch (0: once) until For (0: no bound) or ctx is over, and returns what was seen.
func (c watched[T]) repeat(ctx context.Context, f *watchFlags) (all []T, err error) {
	if f.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.For)
		defer cancel()
	}
	for {
		seen := c.ask(ctx, f.Agents)
		if ctx.Err() != nil && len(all) > 0 {
			return all, nil
		}
		if all = append(all, seen); len(all) > looksMost {
			all = slices.Delete(all, 0, 1)
		}
		if err := c.show(seen); err != nil || f.Watch <= 0 {
			return all, err
		}
		select {
		case <-time.After(f.Watch):
		case <-ctx.Done():
			return all, nil
		}
	}
}

// askAgent asks an agent's control address for something that is told as JSON; without is what an agent lacks that doesn't tell.
func askAgent(ctx context.Context, client *http.Client, address, path, without string, into any) error {
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
		return errors.New(without)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("what it says can't be read: %w", err)
	}
	return nil
}
