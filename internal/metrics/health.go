package metrics

import (
	"net/http"
	"net/http/pprof"
)

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	Registry *Registry
	// Ready returns nil when the process accepts new work, and the reason why it does not otherwise.
	Ready func() error
	// Profiles adds the handlers of net/http/pprof.
	Profiles bool
}

// Handler serves GET /metrics, /health (the process runs) and /ready (it accepts new work).
func Handler(config HandlerConfig) http.Handler {
	router := http.NewServeMux()
	router.Handle("GET /metrics", config.Registry)
	router.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	router.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := config.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	if config.Profiles {
		router.HandleFunc("GET /debug/pprof/", pprof.Index)
		router.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		router.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
	return router
}
