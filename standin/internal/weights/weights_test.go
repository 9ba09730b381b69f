package weights_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/standin/internal/options"
	"github.com/dandelionpier/dandelionpier/standin/internal/weights"
)

// Guards against concurrent downloads that each get the whole rate.
func TestSharedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := weights.New(options.Weights{Rate: 1 << 20, Size: 4 << 20})
		handler := store.Handler()
		start := time.Now()
		done := make(chan int)
		for range 2 {
			go func() {
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/weights/oak/1", nil))
				done <- w.Body.Len()
			}()
		}
		is.Equal(<-done+<-done, 8<<20)
		// One chunk of 64 KiB, a sixteenth of a second, is a burst that needs no wait.
		is.Equal(time.Since(start).Round(time.Microsecond), 8*time.Second-time.Second/16)
	})
}
