package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) < 4 {
		fmt.Println("usage: rig CASE FLAMINGOD RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	f, err := newFleet(os.Args[2], rec)
	code := 2
	if err == nil {
		var broken bool
		if broken, err = cases[os.Args[1]](ctx, f, trouble); err == nil {
			code = 0
			if broken {
				code = 1
			}
		}
		cancel()
		f.stop(os.Getenv("KEEP") != "")
	}
	if err != nil {
		rec.write("could not run: %v", err)
	}
	cancel()
	rec.write("exit %d", code)
	_ = file.Close()
	os.Exit(code)
}

// cases holds the cases by name. A case reports whether the rule was broken.
var cases = map[string]func(ctx context.Context, f *fleet, trouble bool) (bool, error){
	"odd": odd, "midevent": midevent, "added": added, "behind": behind, "leaving": leaving,
}
