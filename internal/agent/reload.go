package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"time"
)

const (
	firstReloadWait   = 50 * time.Millisecond // wait after a file that can't be read, which may be half written
	maxReloadAttempts = 8                     // attempts to read the file after one signal, each after twice the wait of the one before
)

// reloadOnSignal reads the configuration at path again on each signal from hup and passes the address of discovery to
// setDiscovery. No other change takes effect. An invalid file changes nothing and is read again, the first time after
// firstWait. A signal during such a wait starts over at once, since the change that it announces has to take effect soon.
func reloadOnSignal(ctx context.Context, hup <-chan os.Signal, path string, firstWait time.Duration, setDiscovery func(netip.AddrPort), log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		wait := firstWait
		for attempt := 0; attempt < maxReloadAttempts; attempt++ {
			cfg, err := ReadConfig(path)
			if err == nil {
				log.Info("configuration read again", "discovery", cfg.Discovery)
				setDiscovery(cfg.Discovery)
				break
			}
			log.Warn("configuration kept as it was", "err", err)
			retry := time.NewTimer(wait)
			select {
			case <-retry.C:
				wait *= 2
			case <-hup:
				retry.Stop()
				wait, attempt = firstWait, -1
			case <-ctx.Done():
				retry.Stop()
				return
			}
		}
	}
}
