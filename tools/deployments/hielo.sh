# Hielo del Valle in small: slots a tenth, rates a quarter of the real ones; instances as they are.
rate_divisor=4
services=(inventory billing route-planning shop-orders)
declare -A instances=([inventory]=4 [billing]=3 [route-planning]=3 [shop-orders]=3)
declare -A slots=([inventory]=10 [billing]=14 [route-planning]=14 [shop-orders]=3)
declare -A connections=([inventory]=70 [billing]=90 [route-planning]=90 [shop-orders]=30)
lookup='[{"path": "/inventory/internal/stock"}]'
declare -A routes=(
    [inventory]='[{"path": "/stock", "work_ms": 160}, {"path": "/internal/stock", "work_ms": 100}]'
    [billing]="[{\"path\": \"/confirmations\", \"work_ms\": 80, \"calls\": $lookup}, {\"path\": \"/charges\", \"work_ms\": 80}]"
    [route-planning]="[{\"path\": \"/sheets\", \"work_ms\": 150, \"calls\": $lookup}]"
    [shop-orders]="[{\"path\": \"/orders\", \"work_ms\": 60, \"calls\": $lookup}, {\"path\": \"/prices\", \"work_ms\": 40}]"
)
