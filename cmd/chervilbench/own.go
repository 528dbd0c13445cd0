package main

import (
	"fmt"
	"os"

	"chervilwalk/internal/operations/measurement"
)

// ownCommand measures what ownership costs: time unserved after each loss,
// churn, table operations, control bytes and load imbalance.
type ownCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"First seed; every run takes the next"`
	Runs int    `long:"runs" default:"20" description:"Runs of each loss"`
}

// Execute implements flags.Commander.
func (oc *ownCommand) Execute([]string) error {
	sz := measurement.MushiSize(oc.Seed, oc.Runs)
	ow := measurement.Ownership{
		Losses:    measurement.MeasureLosses(sz),
		Cost:      measurement.MeasureCost(sz),
		Imbalance: measurement.MeasureImbalance(measurement.Mushi(oc.Seed)),
	}
	if err := ow.Table(os.Stdout); err != nil {
		return err
	}
	line, err := ow.JSON()
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}
