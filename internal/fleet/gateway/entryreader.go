package gateway

import (
	"errors"
	"maps"
	"slices"
	"time"

	"chervilwalk/internal/catalog/roster"
	"chervilwalk/platform"
)

// feedWait is how long the store may wait for a change before it answers. It is as
// short as the store allows: the reader asks again at its own interval.
const feedWait = time.Millisecond

// entryReader reads the upstream entries: all of them at first, then what has changed.
type entryReader struct {
	store *platform.Store
	rows  map[string]platform.Row
	// version is that of the store at the last read, 0 before the first.
	version   platform.Version
	entries   []roster.Entry
	malformed []platform.MalformedEntry
}

// read brings the entries up to date with the store.
func (er *entryReader) read() error {
	if er.version != 0 {
		rows, version, err := er.store.Watch(platform.UpstreamTable, er.version, feedWait, time.Now().Add(readTimeout))
		if err == nil {
			er.apply(rows, version)
			return nil
		}
		if !errors.Is(err, platform.ErrHistoryGone) {
			return err
		}
	}
	rows, version, err := er.store.Read(platform.UpstreamTable, "", time.Now().Add(readTimeout))
	if err != nil {
		return err
	}
	er.forget()
	er.apply(rows, version)
	return nil
}

// apply applies rows that the store has returned.
func (er *entryReader) apply(rows []platform.Row, version platform.Version) {
	first := er.version == 0
	if first {
		er.rows = make(map[string]platform.Row, len(rows))
	}
	for _, rw := range rows {
		if rw.Deleted {
			delete(er.rows, rw.Key)
			continue
		}
		er.rows[rw.Key] = rw
	}
	er.version = version
	if !first && len(rows) == 0 {
		return
	}
	all := make([]platform.Row, 0, len(er.rows))
	for _, key := range slices.Sorted(maps.Keys(er.rows)) {
		all = append(all, er.rows[key])
	}
	er.entries, er.malformed = platform.DecodeEntries(all)
}

// forget frees what was read; the next read is one of all entries.
func (er *entryReader) forget() { *er = entryReader{store: er.store} }
