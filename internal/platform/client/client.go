// Package client reaches the platform's table, object store and census over
// HTTP.
//
//	cl := client.New("127.0.0.1:7000", client.WithDomain("north"))
//	res := cl.Read(ctx, "bundle")
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/census"
	"chervilwalk/internal/platform/object"
	"chervilwalk/internal/platform/table"
)

// Paths and headers of the platform's HTTP interface.
const (
	ReadPath     = "/table/read"
	PrefixPath   = "/table/prefix"
	TransactPath = "/table/transact"
	ObjectPath   = "/object/"
	CensusPath   = "/census"
	// DomainHeader names the asking domain.
	DomainHeader = "Chervilwalk-Domain"
)

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 16 << 20

// Row is a table row on the wire.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Write is one write of a transaction on the wire.
type Write struct {
	Key   string `json:"key"`
	Base  uint64 `json:"base"`
	Value []byte `json:"value"`
}

// CensusEntry is one line of the census on the wire.
type CensusEntry struct {
	Host  string `json:"host"`
	State string `json:"state"`
}

// Client implements table.Table, object.Store and census.Census.
type Client struct {
	base   string
	domain ident.Domain
	http   *http.Client
}

// Option changes a client at its making.
type Option func(*Client)

// WithDomain names the failure domain that the client asks from.
func WithDomain(dm ident.Domain) Option {
	return func(cl *Client) { cl.domain = dm }
}

// New makes a client of the platform at an IP and port.
func New(address string, opts ...Option) *Client {
	cl := &Client{base: "http://" + address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// Close drops the idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Read returns one row.
func (cl *Client) Read(ctx context.Context, key string) table.Result {
	return cl.rows(ctx, ReadPath+"?key="+url.QueryEscape(key))
}

// ReadPrefix returns the rows under a prefix.
func (cl *Client) ReadPrefix(ctx context.Context, prefix string) table.Result {
	return cl.rows(ctx, PrefixPath+"?prefix="+url.QueryEscape(prefix))
}

func (cl *Client) rows(ctx context.Context, path string) table.Result {
	status, body, err := cl.call(ctx, http.MethodGet, path, nil)
	if err != nil || status != http.StatusOK {
		return table.Result{Outcome: table.Failed}
	}
	return decodeRows(body, table.Failed)
}

func decodeRows(body []byte, otherwise table.Outcome) table.Result {
	var rows []Row
	if err := json.Unmarshal(body, &rows); err != nil {
		return table.Result{Outcome: otherwise}
	}
	res := table.Result{Outcome: table.Done}
	for _, rw := range rows {
		res.Rows = append(res.Rows, table.Row{Key: rw.Key, Value: rw.Value, Version: table.Version(rw.Version)})
	}
	return res
}

// Transact writes all rows or none.
func (cl *Client) Transact(ctx context.Context, writes ...table.Write) table.Result {
	wire := make([]Write, 0, len(writes))
	for _, wr := range writes {
		wire = append(wire, Write{Key: wr.Key, Base: uint64(wr.Base), Value: wr.Value})
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return table.Result{Outcome: table.Failed}
	}
	status, answer, err := cl.call(ctx, http.MethodPost, TransactPath, body)
	switch {
	case neverSent(err):
		return table.Result{Outcome: table.Failed}
	case err != nil:
		return table.Result{Outcome: table.Unknown}
	case status == http.StatusOK:
		return decodeRows(answer, table.Unknown)
	case status == http.StatusConflict:
		return table.Result{Outcome: table.Conflict}
	case status == http.StatusServiceUnavailable:
		return table.Result{Outcome: table.Failed}
	default:
		return table.Result{Outcome: table.Unknown}
	}
}

// neverSent tells whether the connection was refused before a byte was sent.
func neverSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// Put stores a body under its digest.
func (cl *Client) Put(ctx context.Context, dg object.Digest, body []byte) error {
	status, _, err := cl.call(ctx, http.MethodPut, ObjectPath+string(dg), body)
	if err != nil {
		return eris.Wrap(err, "object store")
	}
	if status != http.StatusOK {
		return eris.Errorf("object store: put answered status %d", status)
	}
	return nil
}

// Get returns the body of a digest, or object.ErrMissing.
func (cl *Client) Get(ctx context.Context, dg object.Digest) ([]byte, error) {
	status, body, err := cl.call(ctx, http.MethodGet, ObjectPath+string(dg), nil)
	switch {
	case err != nil:
		return nil, eris.Wrap(err, "object store")
	case status == http.StatusNotFound:
		return nil, object.ErrMissing
	case status != http.StatusOK:
		return nil, eris.Errorf("object store: get answered status %d", status)
	default:
		return body, nil
	}
}

// List returns the census.
func (cl *Client) List(ctx context.Context) ([]census.Entry, error) {
	status, body, err := cl.call(ctx, http.MethodGet, CensusPath, nil)
	if err != nil {
		return nil, eris.Wrap(err, "census")
	}
	if status != http.StatusOK {
		return nil, eris.Errorf("census: answered status %d", status)
	}
	var wire []CensusEntry
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, eris.Wrap(err, "census")
	}
	list := make([]census.Entry, 0, len(wire))
	for _, ce := range wire {
		list = append(list, census.Entry{Host: ident.Host(ce.Host), State: census.State(ce.State)})
	}
	return list, nil
}

func (cl *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	rq, err := http.NewRequestWithContext(ctx, method, cl.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	rq.Header.Set(DomainHeader, string(cl.domain))
	rs, err := cl.http.Do(rq)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	return rs.StatusCode, answer, err
}
