package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

const (
	// defaultMaxBodyBytes limits the size of a request body if no declaration sets a limit.
	defaultMaxBodyBytes = 8 << 20
	// maxRequestBytesHeld and maxResponseBytesHeld limit the total size of the bodies that an instance holds in memory.
	maxRequestBytesHeld  = 32 << 20
	maxResponseBytesHeld = 32 << 20
	// freeBytes is the part of each body of unknown size that does not count, so that bodies without end do not stop the short ones.
	freeBytes = 64 << 10
	// maxBodyTime limits the time in which a caller sends the body of a request.
	maxBodyTime = 30 * time.Second
)

// byteBudget limits the total size of bodies. It is safe for concurrent use.
type byteBudget struct {
	limit int64
	held  atomic.Int64
}

// budgetedReader counts the bytes that it reads, beyond the first freeBytes, against a budget until they are released.
// The length of a response need not be known in advance.
type budgetedReader struct {
	reader io.Reader
	budget *byteBudget
	read   int64
}

// Read returns an error of kind OutOfMemory once the budget is exhausted.
func (r *budgetedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	before := r.counted()
	r.read += int64(n)
	if added := r.counted() - before; added > 0 && r.budget.held.Add(added) > r.budget.limit {
		return n, fault.New("read body", OutOfMemory, "bodies of more than %d bytes are held", r.budget.limit)
	}
	return n, err
}

func (r *budgetedReader) counted() int64 {
	return max(0, r.read-freeBytes)
}

// release returns the bytes to the budget. It may be called more than once.
func (r *budgetedReader) release() {
	r.budget.held.Add(-r.counted())
	r.read = 0
}

// holdBody returns a reader of a body whose bytes count against a budget until releaseBodies.
func (x *exchange) holdBody(body io.Reader, budget *byteBudget) *budgetedReader {
	reader := &budgetedReader{reader: body, budget: budget}
	x.heldBodies = append(x.heldBodies, reader)
	return reader
}

func (x *exchange) releaseBodies() {
	for _, reader := range x.heldBodies {
		reader.release()
	}
}

// errBodyTooLarge means that a body exceeds the declared limit.
var errBodyTooLarge = errors.New("the body is larger than the limit")

// bodySize returns the declared size of a body. One of unknown size counts while it is read.
func bodySize(r *http.Request) int64 {
	return max(0, r.ContentLength)
}

// shed refuses a request whose body would exceed maxRequestBytesHeld. It reads and discards the body first, because the
// caller would not see the response if the connection were closed with unread bytes.
func (g *Gateway) shed(w http.ResponseWriter, r *http.Request) {
	x := &exchange{arrived: time.Now(), table: g.config.Fleet.Table(), log: g.config.Logger}
	limitBodyTime(w, x, maxBodyTime)
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBytesHeld)); err != nil {
		g.config.Logger.Debug("Could not read the body of a refused request", zap.Error(err))
	}
	g.refuse(w, x, tooManyBodies())
}

// limitBodyTime limits the time in which the body of a request arrives. The limit must be lifted before the request is
// served, because its expiry would end the connection.
func limitBodyTime(w http.ResponseWriter, x *exchange, limit time.Duration) {
	if err := http.NewResponseController(w).SetReadDeadline(x.arrived.Add(limit)); err != nil {
		x.log.Debug("Could not limit the time of a request body", zap.Error(err))
	}
}

// readBody reads the body of a request. A caller that stops sending must not hold memory and a connection for long.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, x *exchange) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	wait := maxBodyTime
	if x.call != nil && x.call.Timeout > 0 {
		wait = min(wait, x.call.Timeout)
	}
	limitBodyTime(w, x, wait)
	defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Time{}) }()
	limited := http.MaxBytesReader(w, r.Body, maxBodyBytes(x.table))
	body, err := g.readHeld(x, r, limited)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, errBodyTooLarge
	}
	return body, err
}

// readHeld reads a body into memory. One of unknown size that the budget does not permit is read and discarded, because the
// caller would not see the response otherwise.
func (g *Gateway) readHeld(x *exchange, r *http.Request, body io.Reader) ([]byte, error) {
	if r.ContentLength > 0 {
		return io.ReadAll(body)
	}
	held := x.holdBody(body, &g.requestBytes)
	data, err := io.ReadAll(held)
	if !fault.Is(err, OutOfMemory) {
		return data, err
	}
	held.release()
	if _, discardErr := io.Copy(io.Discard, body); discardErr != nil {
		return nil, discardErr
	}
	return nil, err
}

func maxBodyBytes(table *routing.Table) int64 {
	if table != nil && table.Limits().MaxBodyBytes > 0 {
		return table.Limits().MaxBodyBytes
	}
	return defaultMaxBodyBytes
}
