package measurement

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Ownership is all that one run of the measurement found.
type Ownership struct {
	Losses    []Loss
	Cost      Cost
	Imbalance Imbalance
}

type lossJSON struct {
	UnservedMsMedian float64 `json:"unservedMsMedian"`
	UnservedMsMax    float64 `json:"unservedMsMax"`
	ChurnRatio       float64 `json:"churnRatio"`
	Runs             int     `json:"runs"`
	Open             int     `json:"openAtTheEnd"`
}

type ownershipJSON struct {
	Losses           map[string]lossJSON `json:"losses"`
	ChurnRatio       float64             `json:"churnRatio"`
	Imbalance        float64             `json:"imbalance"`
	ImbalanceStatic  float64             `json:"imbalanceStatic"`
	TableReads       float64             `json:"tableReadsPerSecond"`
	TableWrites      float64             `json:"tableWritesPerSecond"`
	ControlBytes     float64             `json:"controlBytesPerNodeSecond"`
	ControlBytesMost float64             `json:"controlBytesBusiestNodeSecond"`
	DoubleOwners     int                 `json:"doubleOwners"`
}

func millis(dr time.Duration) float64 { return float64(dr) / float64(time.Millisecond) }

// Table writes the readable report.
func (ow *Ownership) Table(out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "loss\truns\tunserved median ms\tmax ms\tmoved\thad to move\topen at the end")
	for ix := range ow.Losses {
		lo := &ow.Losses[ix]
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%.0f\t%.0f\t%d\t%d\t%d\n",
			lo.Name, len(lo.Unserved), millis(lo.Median()), millis(lo.Max()), lo.Moved, lo.Forced, lo.Open)
	}
	_, _ = fmt.Fprintln(tw)
	_, _ = fmt.Fprintln(tw, "policy\timbalance mean\tworst minute\tmoves")
	for name, sp := range map[string]Spread{"load following": ow.Imbalance.Following, "static hashing": ow.Imbalance.Static} {
		_, _ = fmt.Fprintf(tw, "%s\t%.3f\t%.3f\t%d\n", name, sp.Mean, sp.Worst, sp.Moves)
	}
	_, _ = fmt.Fprintln(tw)
	_, _ = fmt.Fprintf(tw, "table reads per second\t%.1f\n", ow.Cost.TableReads)
	_, _ = fmt.Fprintf(tw, "table writes per second\t%.1f\n", ow.Cost.TableWrites)
	_, _ = fmt.Fprintf(tw, "control bytes per node and second\t%.0f\n", ow.Cost.NodeBytes)
	_, _ = fmt.Fprintf(tw, "control bytes of the busiest node\t%.0f\n", ow.Cost.BusiestBytes)
	_, _ = fmt.Fprintf(tw, "double owners\t%d\n", ow.doubles())
	return tw.Flush()
}

func (ow *Ownership) doubles() int {
	sum := 0
	for ix := range ow.Losses {
		sum += ow.Losses[ix].Doubles
	}
	return sum
}

// JSON writes the figures as one line.
func (ow *Ownership) JSON() ([]byte, error) {
	oj := ownershipJSON{
		Losses: map[string]lossJSON{}, Imbalance: ow.Imbalance.Following.Mean, ImbalanceStatic: ow.Imbalance.Static.Mean,
		TableReads: ow.Cost.TableReads, TableWrites: ow.Cost.TableWrites,
		ControlBytes: ow.Cost.NodeBytes, ControlBytesMost: ow.Cost.BusiestBytes, DoubleOwners: ow.doubles(),
	}
	total := Loss{}
	for ix := range ow.Losses {
		lo := &ow.Losses[ix]
		total.Moved, total.Forced = total.Moved+lo.Moved, total.Forced+lo.Forced
		oj.Losses[lo.Name] = lossJSON{
			UnservedMsMedian: millis(lo.Median()), UnservedMsMax: millis(lo.Max()),
			ChurnRatio: lo.ChurnRatio(), Runs: len(lo.Unserved), Open: lo.Open,
		}
	}
	oj.ChurnRatio = total.ChurnRatio()
	return json.Marshal(oj)
}
