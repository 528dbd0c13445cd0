package capacity

import "testing"

func BenchmarkHop(b *testing.B) {
	if _, err := hopCPU(b.N); err != nil {
		b.Fatal(err)
	}
}

func BenchmarkDispatch(b *testing.B) {
	if _, err := dispatchCPU(b.N); err != nil {
		b.Fatal(err)
	}
}
