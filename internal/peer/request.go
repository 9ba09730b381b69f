package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
	"runtime/debug"
	"sync"

	"go.uber.org/zap"
)

// stream reads the requests and writes the responses of one connection, in the encoding of net/rpc. It is used by one
// reader, and by any number of writers.
type stream struct {
	conn    io.ReadWriteCloser
	decoder *gob.Decoder

	mu      sync.Mutex
	encoder *gob.Encoder
	buffer  *bufio.Writer
	broken  bool
}

func newStream(conn io.ReadWriteCloser) *stream {
	buffer := bufio.NewWriter(conn)
	return &stream{conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer), buffer: buffer}
}

// writeResponse writes a response. After an error the encoding of the connection is unknown, so it is closed.
func (s *stream) writeResponse(header *rpc.Response, body any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return io.ErrClosedPipe
	}
	err := errors.Join(s.encoder.Encode(header), s.encoder.Encode(body), s.buffer.Flush())
	if err != nil {
		s.broken = true
		_ = s.conn.Close()
	}
	return err
}

// request is the codec of one request. net/rpc reads it completely and then runs the method.
type request struct {
	stream *stream
	header rpc.Request
	// onRead is called when the request has been read, and the next one follows on the connection.
	onRead func()
}

// ReadRequestHeader returns the header, which was read already.
func (r *request) ReadRequestHeader(header *rpc.Request) error {
	*header = r.header
	return nil
}

// ReadRequestBody decodes the arguments; a nil body discards them. Arguments of another type are an error of this request
// only: if the connection failed, reading the next one shows it.
func (r *request) ReadRequestBody(body any) error {
	err := r.stream.decoder.Decode(body)
	r.onRead()
	return err
}

// WriteResponse sends the reply of the method, or its error.
func (r *request) WriteResponse(header *rpc.Response, body any) error {
	return r.stream.writeResponse(header, body)
}

// Close does nothing, because the connection serves further requests.
func (r *request) Close() error {
	return nil
}

// serveRequests runs the calls of one connection concurrently until it ends, and returns when all have ended.
func (s *Server) serveRequests(conn io.ReadWriteCloser) {
	var calls sync.WaitGroup
	connection := newStream(conn)
	calls.Go(func() { s.serveNext(connection, &calls) })
	calls.Wait()
}

type noReply struct{}

// serveNext reads one request, starts to read the next one and runs the call. A method that panics fails this call alone:
// net/rpc would end the process.
func (s *Server) serveNext(connection *stream, calls *sync.WaitGroup) {
	r := &request{stream: connection, onRead: func() { calls.Go(func() { s.serveNext(connection, calls) }) }}
	if err := connection.decoder.Decode(&r.header); err != nil {
		return
	}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		s.config.Logger.Error("A call panicked", zap.String("method", r.header.ServiceMethod), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
		_ = r.WriteResponse(&rpc.Response{ServiceMethod: r.header.ServiceMethod, Seq: r.header.Seq, Error: "the call panicked"}, noReply{})
	}()
	// The caller was sent the error of an invalid request.
	_ = s.rpc.ServeRequest(r)
}
