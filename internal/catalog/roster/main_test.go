package roster_test

import (
	"testing"

	"chervilwalk/internal/base/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
