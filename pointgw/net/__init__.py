"""The real balancer: what is spoken (`wire`), what is kept (`core`), start and stop (`run`)."""
