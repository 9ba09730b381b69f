package crash

import "time"

// maxLastTimes is the number of keys after which the older half of them is forgotten.
const maxLastTimes = 4096

// lastTimes remembers when something last happened to each key. The zero value is empty.
type lastTimes[K comparable] struct {
	recent, older map[K]time.Time
}

func (l *lastTimes[K]) record(key K, now time.Time) {
	if len(l.recent) >= maxLastTimes || l.recent == nil {
		l.recent, l.older = make(map[K]time.Time), l.recent
	}
	l.recent[key] = now
}

// last returns the last time of a key, or the zero time if it is not known.
func (l *lastTimes[K]) last(key K) time.Time {
	if t, ok := l.recent[key]; ok {
		return t
	}
	return l.older[key]
}
