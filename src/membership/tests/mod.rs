mod live;
