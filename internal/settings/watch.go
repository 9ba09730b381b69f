package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchInterval is the time between two checks of a settings file, which may change without a signal.
const watchInterval = 2 * time.Second

// Watch calls reload on SIGHUP and when the file at path changes, until ctx ends.
func Watch(ctx context.Context, path string, reload func()) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-ticker.C:
			if modificationTime(path).Equal(last) {
				continue
			}
		}
		last = modificationTime(path)
		reload()
	}
}

func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
