package inner

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"sync"

	"google.golang.org/protobuf/proto"

	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

const (
	// forwardPath is where a node takes calls for the pools it holds. A call is
	// a plain HTTP/2 exchange, not one of connect-go: docs/design/path.md says
	// what that saves.
	forwardPath = "/chervilwalk.inner.v1.Inner/Forward"
	// maxCallBytes bounds a call on the wire: the largest body and headers.
	maxCallBytes = 10 << 20
	// maxReplyBytes bounds the part of an answer before the upstream's body.
	maxReplyBytes = 1 << 20
	// lengthBytes is the size of the length before a ForwardReply.
	lengthBytes = 4
	// chunkBytes is the size of the pieces in which a body crosses the hop.
	chunkBytes = 32 << 10
)

// forwardHandler serves the calls of other nodes.
type forwardHandler struct {
	service Service
}

// ServeHTTP serves one call. A body that was cut resets the HTTP/2 stream, so
// that the other end sees the cut and no end.
func (fh *forwardHandler) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	ca, err := readCall(rw, rq)
	if err != nil {
		writeReply(rw, endOf(verdict.Refuse(http.StatusBadRequest, "the call could not be read", 0)), -1)
		return
	}
	answer, err := fh.service.Serve(rq.Context(), ca)
	if err != nil {
		writeReply(rw, endOf(err), -1)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if ca.Method == http.MethodHead {
		writeReply(rw, headOf(answer), 0)
		return
	}
	writeReply(rw, headOf(answer), answer.Length)
	relay(rw, answer)
}

func readCall(rw http.ResponseWriter, rq *http.Request) (*Call, error) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, maxCallBytes))
	if err != nil {
		return nil, err
	}
	var pb innerpb.ForwardRequest
	if err := proto.Unmarshal(data, &pb); err != nil {
		return nil, err
	}
	return decodeCall(&pb), nil
}

// writeReply sends the part before the body; length is the body's, -1 when it
// is not known.
func writeReply(rw http.ResponseWriter, reply *innerpb.ForwardReply, length int64) {
	data := make([]byte, lengthBytes, 512)
	data, err := proto.MarshalOptions{}.MarshalAppend(data, reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthBytes))
	header := rw.Header()
	header["Content-Type"] = []string{"application/octet-stream"}
	header["Date"] = nil
	if length >= 0 {
		header.Set("Content-Length", formatLength(int64(len(data))+length))
	}
	_, _ = rw.Write(data)
}

// relay sends the upstream's body. Bodies of unknown length are flushed piece
// by piece, since their caller may wait for each.
func relay(rw http.ResponseWriter, answer *dispatch.Answer) {
	buffer, _ := buffers.Get().(*[chunkBytes]byte)
	defer buffers.Put(buffer)
	for {
		count, err := answer.Body.Read(buffer[:])
		if count > 0 {
			if _, err := rw.Write(buffer[:count]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if answer.Length < 0 {
			_ = http.NewResponseController(rw).Flush()
		}
	}
}

var buffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// Forward runs a call at the holder. A broken hop is a *verdict.Error that says
// "may have run"; the caller may Bar the id to learn more.
func (pe *Peer) Forward(ctx context.Context, ca *Call) (*dispatch.Answer, error) {
	data, err := proto.Marshal(encodeCall(ca))
	if err != nil {
		return nil, verdict.Refuse(http.StatusBadRequest, "the request cannot be passed on", 0)
	}
	ctx, cancel := context.WithCancel(ctx)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, pe.forwardURL, bytes.NewReader(data))
	if err != nil {
		cancel()
		return nil, verdict.Refuse(http.StatusInternalServerError, "the holder's address is malformed", 0)
	}
	rs, err := pe.http.Do(rq)
	if err != nil {
		cancel()
		return nil, hopError(err)
	}
	answer, err := readAnswer(rs, cancel)
	if err != nil {
		cancel()
		_ = rs.Body.Close()
		return nil, err
	}
	if ca.Method == http.MethodHead {
		_ = answer.Body.Close()
		answer.Body = http.NoBody
	}
	return answer, nil
}

// hopError tells what an exchange that gave no answer proves.
func hopError(err error) error {
	if neverSent(err) {
		return verdict.Misdirect("the pool's holder cannot be reached")
	}
	return hopBroken()
}

// ErrHopBroken is the error of a call whose fate at the holder is not known.
var ErrHopBroken error = verdict.Doubt(http.StatusBadGateway, "the way to the pool's holder broke")

func hopBroken() error {
	return ErrHopBroken
}

// HopBroken tells whether an error of Forward says that the hop itself broke,
// and not that the holder reported a failure.
func HopBroken(err error) bool {
	return errors.Is(err, ErrHopBroken)
}

func readAnswer(rs *http.Response, cancel context.CancelFunc) (*dispatch.Answer, error) {
	if rs.StatusCode != http.StatusOK {
		return nil, hopBroken()
	}
	var length [lengthBytes]byte
	if _, err := io.ReadFull(rs.Body, length[:]); err != nil {
		return nil, hopBroken()
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxReplyBytes {
		return nil, hopBroken()
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(rs.Body, data); err != nil {
		return nil, hopBroken()
	}
	var reply innerpb.ForwardReply
	if err := proto.Unmarshal(data, &reply); err != nil {
		return nil, hopBroken()
	}
	switch part := reply.GetPart().(type) {
	case *innerpb.ForwardReply_Head:
		return answerOf(part.Head, &streamBody{ReadCloser: rs.Body, cancel: cancel}), nil
	case *innerpb.ForwardReply_End:
		return nil, errorOf(part.End)
	default:
		return nil, hopBroken()
	}
}

// streamBody reads a body off the HTTP/2 stream. Only a stream that ended as a
// whole gives io.EOF.
type streamBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the stream; before its end it cancels the call.
func (sb *streamBody) Close() error {
	err := sb.ReadCloser.Close()
	sb.cancel()
	return err
}
