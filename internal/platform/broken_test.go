package platform_test

import (
	"context"
	"errors"
	"testing"

	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/rawserver"
)

// TestMalformedResponse guards against a transaction that counts as committed by a malformed response.
func TestMalformedResponse(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 X\r\nX Odd: 1\r\n", "HTTP/1.1 200 X\r\nX-Odd : 1\r\n"} {
		addr, stop, err := rawserver.Start(rawserver.Text(head + "Content-Length: 13\r\n\r\n{\"version\":1}"))
		if err != nil {
			t.Fatal(err)
		}
		c, closeClient := platform.NewClient(addr)
		_, err = c.Commit(context.Background(), platform.Txn{OperationID: "op", Writes: []platform.Write{{Key: "k"}}})
		var unknown *platform.UnknownOutcomeError
		if !errors.As(err, &unknown) {
			t.Errorf("%q: got %v", head, err)
		}
		closeClient()
		stop()
	}
}
