package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"time"
)

const (
	rereadFirst = 50 * time.Millisecond // a file that can't be read may be half written: try again after it
	rereadTries = 8                     // with twice the wait each time
)

// follow reads the configuration at path anew with each signal and hands on where discovery is.
// Nothing else takes effect. Guards against a file that makes no sense: what held goes on to hold.
// A signal that comes while a file is to be tried again begins anew with it: what it speaks of counts soon. First is the
// wait before the second try.
func follow(ctx context.Context, hup <-chan os.Signal, path string, first time.Duration, move func(netip.AddrPort), log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		wait := first
		for tries := 0; tries < rereadTries; tries++ {
			cfg, err := ReadConfig(path)
			if err == nil {
				log.Info("configuration read again", "discovery", cfg.Discovery)
				move(cfg.Discovery)
				break
			}
			log.Warn("configuration kept as it was", "err", err)
			pause := time.NewTimer(wait)
			select {
			case <-pause.C:
				wait *= 2
			case <-hup:
				pause.Stop()
				wait, tries = first, -1
			case <-ctx.Done():
				pause.Stop()
				return
			}
		}
	}
}
