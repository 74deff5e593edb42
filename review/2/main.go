// Command 2 shows a case of the review; claim.txt beside it says which.
package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/review/lab"
)

const (
	perSecond   = 200              // requests of the client
	answerBytes = 40 << 10         // of an answer
	pauseAt     = 2 * time.Second  // the client stops reading
	pause       = 3 * time.Second  // for this long
	sendFor     = 8 * time.Second  // the client sends requests
	deadline    = 5 * time.Second  // of a request, with half a second of grace
	watchFor    = 15 * time.Second // from the first request on
)

func main() { lab.Run("review/2", run) }

func run(l *lab.Lab) (violations []string, err error) {
	data := string(make([]byte, answerBytes))
	servers, err := l.NewServers([]string{"s1.example.net", "s2.example.net", "s3.example.net"},
		func(int, *diameter.Message) time.Duration { return 10 * time.Millisecond },
		func(*diameter.Message) []diameter.AVP {
			return []diameter.AVP{diameter.WithoutMandatory(diameter.Str(702, data))} // User-Data
		})
	if err != nil {
		return nil, err
	}
	d, err := l.NewDiscovery(lab.NewHost("s1", servers.Nodes[0].Addr(), "gandhinagar"), lab.NewHost("s2", servers.Nodes[1].Addr(), "gandhinagar"),
		lab.NewHost("s3", servers.Nodes[2].Addr(), "vadodara"))
	if err != nil {
		return nil, err
	}
	config, err := lab.NewConfig("n0", d)
	if err != nil {
		return nil, err
	}
	relay, err := lab.FreeAddress()
	if err != nil {
		return nil, err
	}
	file, err := l.DiameterFile(relay, 1, func(text string) string { return lab.SetKey(text, "user-data", "deadline_ms", deadline.Milliseconds()) })
	if err != nil {
		return nil, err
	}
	if _, err := l.StartAgent(config, "-diameter "+file); err != nil {
		return nil, err
	}

	nc, err := net.Dial("tcp4", relay)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	if err := lab.Capabilities(nc, lab.ClientName(1), lab.AppSh); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	sent, results := map[uint32]time.Time{}, map[uint32]int{}
	answered, twice := map[uint32]time.Time{}, 0
	ended := "" // how the connection ended
	began := time.Now()
	stopSending := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { // sends
		tick := time.NewTicker(time.Second / perSecond)
		defer tick.Stop()
		for id := uint32(1); time.Since(began) < sendFor; id++ {
			select {
			case <-tick.C:
			case <-stopSending:
				return
			}
			raw, err := lab.Request(diameter.UserData, lab.AppSh, lab.ClientName(1), fmt.Sprintf("read-%d", id), id).Append(nil)
			if err == nil {
				_, err = nc.Write(raw)
			}
			if err != nil {
				l.Record("client can't send: %v", err)
				return
			}
			mu.Lock()
			sent[id] = time.Now() // its last byte is written
			mu.Unlock()
		}
	})
	tasks.Go(func() { // reads, and pauses once
		defer close(stopSending)
		messages := diameter.NewReader(nc, diameter.DefaultLimits())
		paused := !l.Trouble
		for {
			if !paused && time.Since(began) > pauseAt {
				l.Record("client pauses")
				time.Sleep(pause)
				l.Record("client reads again")
				paused = true
			}
			nc.SetReadDeadline(began.Add(watchFor))
			raw, err := messages.Next()
			if err != nil {
				ended = err.Error()
				l.Record("client's connection: %v", err)
				return
			}
			m, err := diameter.Decode(raw, diameter.DefaultLimits())
			if err != nil {
				ended = err.Error()
				return
			}
			if m.Request() {
				lab.AnswerBase(nc, m, lab.ClientName(1))
				continue
			}
			mu.Lock()
			if _, before := answered[m.EndToEnd]; before {
				twice++
			}
			answered[m.EndToEnd] = time.Now()
			results[m.Result()]++
			full := len(answered) == len(sent) && time.Since(began) > sendFor+time.Second
			mu.Unlock()
			if full {
				return
			}
		}
	})
	tasks.Wait()
	lost, late := 0, 0
	for id, at := range sent {
		end, ok := answered[id]
		switch {
		case !ok:
			lost++
			l.Record("no answer to read-%d, written after %v", id, at.Sub(began).Round(time.Millisecond))
		case end.Sub(at) > deadline+500*time.Millisecond:
			late++
		}
	}
	l.Record("sent %d, answered %d by Result-Code %v, twice %d, late %d, lost %d", len(sent), len(answered), results, twice, late, lost)
	if len(answered) == 0 {
		return nil, fmt.Errorf("no answer at all: %s", ended)
	}
	if lost > 0 {
		violations = append(violations, fmt.Sprintf("of %d requests that the agent had taken, %d never got an answer: it ended their connection (%s)", len(sent), lost, ended))
	}
	if twice > 0 {
		violations = append(violations, fmt.Sprintf("%d requests got two answers", twice))
	}
	return violations, nil
}
