package main

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// streamEvents is the usual number of events of a stream, eventPause the usual time between two of them.
	streamEvents = 8
	eventPause   = 40 * time.Millisecond
)

// stream writes the events of a stream with increasing ids, from Last-Event-Id on.
func (p *replica) stream(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for event := 1; event <= cmp.Or(p.streamLength, streamEvents); event++ {
		id := event * p.streamStep
		if id <= last {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: tokens up to %d\n\n", id, id); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		time.Sleep(cmp.Or(p.eventPause, eventPause))
	}
}
