package inner

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

func encodeCall(ca *Call) *innerpb.ForwardRequest {
	return &innerpb.ForwardRequest{
		Id:              string(ca.ID),
		Pool:            string(ca.Pool),
		Service:         string(ca.Service),
		Key:             []byte(ca.Key),
		Slice:           uint32(ca.Slice),
		Method:          ca.Method,
		Path:            []byte(ca.Path),
		Headers:         encodeHeader(ca.Header),
		Body:            ca.Body,
		RemainingMicros: time.Until(ca.Deadline).Microseconds(),
		Idempotent:      ca.Idempotent,
		Elsewhere:       ca.Elsewhere,
	}
}

func decodeCall(pb *innerpb.ForwardRequest) *Call {
	return &Call{
		ID:         ident.Request(pb.GetId()),
		Pool:       ident.Pool(pb.GetPool()),
		Service:    ident.Service(pb.GetService()),
		Key:        ident.Key(pb.GetKey()),
		Slice:      ident.Slice(pb.GetSlice()),
		Method:     pb.GetMethod(),
		Path:       string(pb.GetPath()),
		Header:     decodeHeader(pb.GetHeaders()),
		Body:       pb.GetBody(),
		Deadline:   time.Now().Add(time.Duration(pb.GetRemainingMicros()) * time.Microsecond),
		Idempotent: pb.GetIdempotent(),
		Elsewhere:  pb.GetElsewhere(),
	}
}

func encodeHeader(hd http.Header) []*innerpb.Header {
	var list []*innerpb.Header
	for name, values := range hd {
		for _, value := range values {
			list = append(list, &innerpb.Header{Name: name, Value: []byte(value)})
		}
	}
	return list
}

func decodeHeader(list []*innerpb.Header) http.Header {
	hd := http.Header{}
	for _, pb := range list {
		hd[pb.GetName()] = append(hd[pb.GetName()], string(pb.GetValue()))
	}
	return hd
}

func headOf(an *dispatch.Answer) *innerpb.ForwardReply {
	return &innerpb.ForwardReply{Part: &innerpb.ForwardReply_Head{Head: &innerpb.Head{
		Status:   int32(an.Status),
		Headers:  encodeHeader(an.Header),
		Length:   an.Length,
		Upstream: an.Header.Get(UpstreamHeader),
	}}}
}

func answerOf(hd *innerpb.Head, bd io.ReadCloser) *dispatch.Answer {
	return &dispatch.Answer{
		Status: int(hd.GetStatus()),
		Header: decodeHeader(hd.GetHeaders()),
		Length: hd.GetLength(),
		Body:   bd,
	}
}

func endOf(err error) *innerpb.ForwardReply {
	er := verdict.From(err)
	return &innerpb.ForwardReply{Part: &innerpb.ForwardReply_End{End: &innerpb.End{
		Failed:           true,
		Verdict:          int32(er.Verdict),
		Reason:           er.Reason,
		RetryAfterMillis: er.RetryAfter.Milliseconds(),
		Status:           int32(er.Status),
		WaitMicros:       er.Wait.Microseconds(),
	}}}
}

func errorOf(en *innerpb.End) error {
	return &verdict.Error{
		Verdict:    verdict.Verdict(en.GetVerdict()),
		Status:     int(en.GetStatus()),
		Reason:     en.GetReason(),
		RetryAfter: time.Duration(en.GetRetryAfterMillis()) * time.Millisecond,
		Wait:       time.Duration(en.GetWaitMicros()) * time.Microsecond,
	}
}

func formatLength(length int64) string {
	return strconv.FormatInt(length, 10)
}
