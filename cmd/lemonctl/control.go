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

// askAll asks many doors at a time for something that is told as JSON: what each told, and why others didn't. without
// says what an agent lacks that has no such call.
func askAll[T any](ctx context.Context, doors []string, path, without string) (told map[string]*T, silent map[string]string) {
	told, silent = map[string]*T{}, map[string]string{}
	client := &http.Client{Timeout: askLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, d := range doors {
		all.Go(func() {
			r := new(T)
			err := askDoor(ctx, client, d, path, without, r)
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

// watchDoors looks and shows, again each every (0: once) until span (0: no bound) or ctx is over, and returns the looks.
func watchDoors[T any](ctx context.Context, every, span time.Duration, look func(context.Context) T, show func(T) error) (looks []T, err error) {
	if span > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, span)
		defer cancel()
	}
	for {
		l := look(ctx)
		if ctx.Err() != nil && len(looks) > 0 {
			return looks, nil
		}
		if looks = append(looks, l); len(looks) > looksMost {
			looks = slices.Delete(looks, 0, 1)
		}
		if err := show(l); err != nil || every <= 0 {
			return looks, err
		}
		select {
		case <-time.After(every):
		case <-ctx.Done():
			return looks, nil
		}
	}
}

// askDoor asks a door for something that is told as JSON; without is what an agent lacks that doesn't tell.
func askDoor(ctx context.Context, client *http.Client, door, path, without string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+door+path, nil)
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
