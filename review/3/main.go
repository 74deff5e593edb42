// Command 3 shows a case of the review; claim.txt beside it says which.
package main

import (
	"fmt"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/review/lab"
)

const (
	updates     = 10                     // unsafe requests that are out when the connection is reset
	runTime     = 300 * time.Millisecond // of an update at a server
	resetAfter  = 150 * time.Millisecond // from the updates to the reset
	reconnect   = 2 * time.Second        // from the reset to the new connection
	readsPerSec = 150                    // requests of the other client
	readBytes   = 32 << 10               // of an answer to these
)

func main() { lab.Run("review/3", run) }

func run(l *lab.Lab) (violations []string, err error) {
	data := string(make([]byte, readBytes))
	servers, err := l.NewServers([]string{"s1.example.net", "s2.example.net", "s3.example.net"},
		func(_ int, m *diameter.Message) time.Duration {
			if m.Command == lab.ProfileUpdate {
				return runTime
			}
			return 10 * time.Millisecond
		},
		func(m *diameter.Message) []diameter.AVP {
			if m.Command == diameter.UserData {
				return []diameter.AVP{diameter.WithoutMandatory(diameter.Str(702, data))} // User-Data
			}
			return nil
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
	file, err := l.DiameterFile(relay, 2, nil)
	if err != nil {
		return nil, err
	}
	if _, err := l.StartAgent(config, "-diameter "+file); err != nil {
		return nil, err
	}
	proxy, err := lab.NewProxy(relay)
	if err != nil {
		return nil, err
	}

	// The other client reads data of subscribers, all the time.
	reader, err := lab.Dial(relay, lab.ClientName(2), lab.AppSh)
	if err != nil {
		return nil, err
	}
	served, asked := 0, 0
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		for m := range reader.Received {
			if m.Result() == diameter.Success {
				served++
			}
		}
		close(ended)
	}()
	go func() {
		tick := time.NewTicker(time.Second / readsPerSec)
		defer tick.Stop()
		for i := uint32(1); ; i++ {
			select {
			case <-tick.C:
				asked++
				reader.Send(lab.Request(diameter.UserData, lab.AppSh, lab.ClientName(2), fmt.Sprintf("read-%d", i), i))
			case <-stop:
				reader.Close()
				return
			}
		}
	}()
	time.Sleep(2 * time.Second)

	// The client sends updates. Its connection is reset while the servers work on them; it connects anew and resends what it
	// has no answer to.
	client, err := lab.Dial(proxy.Address(), lab.ClientName(1), lab.AppSh)
	if err != nil {
		return nil, err
	}
	pending := map[uint32]*diameter.Message{}
	var sessions []string
	for i := range uint32(updates) {
		m := lab.Request(lab.ProfileUpdate, lab.AppSh, lab.ClientName(1), fmt.Sprintf("update-%d", i), 1000+i)
		pending[m.EndToEnd], sessions = m, append(sessions, lab.Session(m))
		client.Send(m)
		l.Record("client sends %s, end-to-end %d", lab.Session(m), m.EndToEnd)
	}
	if l.Trouble {
		time.Sleep(resetAfter)
		l.Record("the client's connection is reset")
		proxy.Reset()
		for m := range client.Received {
			delete(pending, m.EndToEnd)
		}
		time.Sleep(reconnect)
		if client, err = lab.Dial(proxy.Address(), lab.ClientName(1), lab.AppSh); err != nil {
			return nil, err
		}
		for id, m := range pending {
			l.Record("client resends %s, end-to-end %d, T", lab.Session(m), id)
			client.Send(lab.Again(m, id+10_000))
		}
	}
	for limit := time.After(10 * time.Second); len(pending) > 0; {
		select {
		case m, open := <-client.Received:
			if !open {
				return nil, fmt.Errorf("the client's connection has ended")
			}
			l.Record("client gets an answer to end-to-end %d: %d", m.EndToEnd, m.Result())
			delete(pending, m.EndToEnd)
		case <-limit:
			return nil, fmt.Errorf("%d updates have no answer", len(pending))
		}
	}
	time.Sleep(time.Second)
	client.Close()
	close(stop)
	<-ended
	l.Record("reads of the other client: %d sent, %d served, %d requests run in all", asked, served, servers.Count())
	if served == 0 {
		return nil, fmt.Errorf("no read was served")
	}
	ran := 0
	for _, id := range sessions {
		runs := servers.Runs(id)
		ran += min(len(runs), 1)
		if len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("%s, unsafe to repeat, ran %d times: at %s, and %v later at %s", id, len(runs), runs[0].Server,
				runs[1].At.Sub(runs[0].At).Round(time.Millisecond), runs[1].Server))
		}
	}
	if ran == 0 {
		return nil, fmt.Errorf("no update was run")
	}
	return violations, nil
}
